//! Faults of engines and of the log, and what callers receive.

use hyper::StatusCode;
use pimento_standin::Handler;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_wire::api::Run;

use crate::support::Fixture;
use crate::support::TIMEOUT;
use crate::support::wait_until;

const PROMPT: &str = "tell me all. answer in 30 tokens";
const CHAT: &str = "/v1/chat/completions";
const ATTEMPTS: &str = "/v1/attempts/";

fn once(action: Action) -> Vec<Rule> {
    vec![Rule::new(action).on("POST", CHAT).times(1)]
}

/// Faults that must not affect the caller: the answer is complete, in order, and billed once.
fn recoverable_faults() -> Vec<(&'static str, Vec<Rule>)> {
    let cut = || {
        Rule::new(Action::Cut { after: 7 })
            .on("POST", CHAT)
            .times(1)
    };
    vec![
        ("cut once", once(Action::Cut { after: 7 })),
        ("cut before the first event", once(Action::Cut { after: 0 })),
        (
            "cut, and cut again on resuming",
            vec![
                cut(),
                Rule::new(Action::Cut { after: 5 })
                    .on("GET", ATTEMPTS)
                    .times(1),
            ],
        ),
        (
            "cut, and the engine no longer knows the attempt",
            vec![
                cut(),
                Rule::new(Action::Refuse {
                    status: 404,
                    retry_after: None,
                    run: None,
                })
                .on("GET", ATTEMPTS),
            ],
        ),
        (
            "the end mark lost, and no answer about the attempt",
            vec![
                Rule::new(Action::Skip { event: 30 })
                    .on("POST", CHAT)
                    .times(1),
                Rule::new(Action::Drop).on("GET", ATTEMPTS),
            ],
        ),
        ("a piece twice", once(Action::Duplicate { event: 4 })),
        (
            "two pieces in the wrong order",
            once(Action::Reorder { event: 4 }),
        ),
        (
            "the last two in the wrong order",
            once(Action::Reorder { event: 28 }),
        ),
        (
            "the end mark before the last piece",
            once(Action::Reorder { event: 29 }),
        ),
        ("a piece lost", once(Action::Skip { event: 9 })),
        ("the last piece lost", once(Action::Skip { event: 29 })),
        ("the end mark lost", once(Action::Skip { event: 30 })),
        ("stalled in the middle", once(Action::Stall { event: 11 })),
        ("invalid data", once(Action::Garbage)),
        ("no answer", once(Action::LoseAnswer)),
        ("closed without an answer", once(Action::Drop)),
        ("a little late", once(Action::Late { ms: 200 })),
        (
            "an error without the run state",
            once(Action::Refuse {
                status: 500,
                retry_after: None,
                run: None,
            }),
        ),
        (
            "refused as not run",
            once(Action::Refuse {
                status: 503,
                retry_after: Some(1),
                run: Some(Run::NotRun),
            }),
        ),
    ]
}

#[tokio::test]
async fn callers_get_the_whole_answer_through_each_fault_and_one_bill() {
    let cases = [true, false].into_iter().flat_map(|stream| {
        let cases = recoverable_faults().into_iter();
        cases.map(move |(what, rules)| tokio::spawn(case(what, rules, stream)))
    });
    for case in cases.collect::<Vec<_>>() {
        case.await.unwrap();
    }
}

/// Each case has its own platform, so that the cases don't share a retry budget.
async fn case(what: &'static str, rules: Vec<Rule>, stream: bool) {
    let fixture = Fixture::start(2).await;
    let entry = fixture.entry("entry-1").await;
    let expected = entry.chat(PROMPT, false).send().await.completion();
    let expected = expected.choices[0].message.content.clone();
    // The same prompt is sent to the same engine first, for its prefix cache.
    let engine = fixture
        .engines
        .iter()
        .find(|e| e.handler.stats().started == 1);
    engine.unwrap().faults.set_rules(rules);
    let answer = entry.chat(PROMPT, stream).send().await;
    assert_eq!(
        answer.status,
        StatusCode::OK,
        "{what}, {stream}: {answer:?}"
    );
    if stream {
        assert!(answer.whole_stream(), "{what}: {:?}", answer.events());
        assert_eq!(answer.streamed(), expected, "{what}");
    } else {
        let text = answer.completion().choices[0].message.content.clone();
        assert_eq!(text, expected, "{what}");
    }
    wait_until("both bills are on the log", || fixture.bills().len() >= 2).await;
    assert_eq!(fixture.bills().len(), 2, "{what}, {stream}");
}

/// Every engine cuts each stream and refuses to resume it. The caller has received a part of the
/// answer. It gets an error event and no end mark, so that it can't take the part for the whole,
/// and no bill.
#[tokio::test]
async fn a_stream_that_cannot_be_finished_ends_with_an_error_and_without_the_end_mark() {
    let fixture = Fixture::start(2).await;
    let entry = fixture.entry("entry-1").await;
    for engine in &fixture.engines {
        engine.faults.set_rules([
            Rule::new(Action::Cut { after: 3 }).on("POST", CHAT),
            Rule::new(Action::Drop).on("GET", ATTEMPTS),
        ]);
    }
    let answer = entry.chat(PROMPT, true).send().await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.whole_stream());
    let events = answer.events();
    let last: pimento_wire::api::ErrorBody =
        serde_json::from_str(events.last().unwrap()).expect("the last event is the error");
    assert_eq!(last.error.run, Run::Unknown);
    assert!(!events.iter().any(|event| event.contains("[DONE]")));
    assert!(fixture.bills().is_empty());
}

/// If all engines refuse a call as not run, the caller gets `not_run`. If engines refuse without a
/// run state, the caller gets `unknown`.
#[tokio::test]
async fn not_run_is_said_only_if_every_engine_said_so() {
    let refuse = |run| {
        Rule::new(Action::Refuse {
            status: 503,
            retry_after: Some(3),
            run,
        })
        .on("POST", CHAT)
    };
    let fixture = Fixture::start(2).await;
    let entry = fixture.entry("entry-1").await;
    for engine in &fixture.engines {
        engine.faults.set_rules([refuse(Some(Run::NotRun))]);
    }
    // The request waits for an engine that accepts it, until its time is short. The refusal comes
    // from the queue or from the engines.
    let request = entry.chat(PROMPT, false).header("request-timeout", "2");
    let answer = request.send().await;
    let code = answer.error_body().error.code;
    assert!(code == "overloaded" || code == "no_endpoint", "{answer:?}");
    assert_eq!(answer.error_body().error.run, Run::NotRun);
    assert_ne!(answer.header("retry-after"), "");
    assert_eq!(fixture.started(), 0);
    for engine in &fixture.engines {
        engine.faults.set_rules([refuse(None)]);
    }
    let answer = entry.chat(PROMPT, false).send().await;
    assert_eq!(answer.error_body().error.run, Run::Unknown, "{answer:?}");
}

/// All engines refuse with `retry-after` of an hour, and the caller's timeout is ten minutes. The
/// caller is refused immediately with this `retry-after`, rather than held while the engines are
/// called again and again: the test waits far less than the caller's timeout.
#[tokio::test]
async fn who_cannot_be_served_in_time_hears_at_once() {
    let fixture = Fixture::start(2).await;
    let entry = fixture.entry("entry-1").await;
    for engine in &fixture.engines {
        let refuse = Action::Refuse {
            status: 503,
            retry_after: Some(3_600),
            run: Some(Run::NotRun),
        };
        engine
            .faults
            .set_rules([Rule::new(refuse).on("POST", CHAT)]);
    }
    let request = entry.chat(PROMPT, false).header("request-timeout", "600");
    let answer = tokio::time::timeout(TIMEOUT, request.send()).await.unwrap();
    assert_eq!(answer.error_body().error.run, Run::NotRun);
    let after: u64 = answer.header("retry-after").parse().unwrap();
    assert!(after > 3_000, "retry after {after} s");
    assert_eq!(fixture.started(), 0);
}

/// The caller disconnects in the middle of a stream. The attempt at the engine is cancelled, so
/// that it does not generate unused tokens, and the unfinished answer is not billed.
#[tokio::test]
async fn the_attempt_of_a_disconnected_caller_is_cancelled() {
    let fixture = Fixture::start(1).await;
    fixture.engines[0].handler.change(|settings| {
        settings.token_us = 20_000;
        settings.linger_ms = 600_000;
    });
    let entry = fixture.entry("entry-1").await;
    let request = entry.chat("answer in 200 tokens", true);
    let pending = tokio::spawn(request.send());
    wait_until("the engine has started", || fixture.started() == 1).await;
    pending.abort();
    wait_until("the attempt is cancelled", || {
        fixture.engines[0].handler.stats().cancelled == 1
    })
    .await;
    assert!(fixture.bills().is_empty());
}

/// One engine hangs. A short request without a first chunk for longer than is usual for its version
/// is sent to a second engine too. The caller gets the second answer long before the stall timeout
/// of the first attempt.
#[tokio::test]
async fn a_short_request_at_a_hung_engine_is_hedged() {
    let fixture = Fixture::start(2).await;
    let settings = [("stall-timeout", "1h")];
    let entry = fixture.entry_with("entry-1", &settings).await;
    for number in 0..30 {
        let prompt = format!("warm up {number}: answer in 3 tokens");
        let answer = entry.chat(&prompt, false).send().await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    fixture.engines[0]
        .faults
        .set_rules([Rule::new(Action::Hang).on("POST", CHAT)]);
    let before = fixture.engines[1].handler.stats().started;
    let mut count = 0;
    // The prefix of a prompt selects its engine; some prompts select the hung one.
    while fixture.engines[0].faults.table().rules[0].hits == 0 {
        let prompt = format!("question {count}: answer in 3 tokens");
        let request = entry.chat(&prompt, false);
        let answer = request.header("request-timeout", "3600").send().await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        count += 1;
    }
    assert_eq!(fixture.engines[1].handler.stats().started, before + count);
}

/// One engine hangs. A long request is not hedged. Without a first chunk for much longer than
/// usual, the attempt is given up and repeated at the other engine, if the retry budgets allow it.
/// Otherwise the caller would wait for half of its timeout of an hour.
#[tokio::test]
async fn a_long_request_at_a_hung_engine_is_repeated() {
    let fixture = Fixture::start(2).await;
    let settings = [("stall-timeout", "1h")];
    let entry = fixture.entry_with("entry-1", &settings).await;
    for number in 0..30 {
        let prompt = format!("warm up {number}: answer in 3 tokens");
        let answer = entry.chat(&prompt, false).send().await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    fixture.engines[0]
        .faults
        .set_rules([Rule::new(Action::Hang).on("POST", CHAT)]);
    let mut count = 0;
    while fixture.engines[0].faults.table().rules[0].hits == 0 {
        let long = "drum ".repeat(6_000);
        let prompt = format!("review {count}: answer in 3 tokens. {long}");
        let request = entry.chat(&prompt, false);
        let answer = request.header("request-timeout", "3600").send().await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        count += 1;
    }
    wait_until("one bill for each", || fixture.bills().len() == 30 + count).await;
}

/// The temperature is above zero, so that another attempt would give another text. After a cut the same
/// attempt is resumed at the same engine, and no second attempt is started.
#[tokio::test]
async fn an_answer_that_is_not_deterministic_is_resumed_and_not_told_again() {
    let fixture = Fixture::start(2).await;
    let entry = fixture.entry("entry-1").await;
    for engine in &fixture.engines {
        engine.faults.set_rules(once(Action::Cut { after: 7 }));
    }
    let body = serde_json::json!({
        "model": "stock",
        "messages": [{"role": "user", "content": PROMPT}],
        "stream": true,
        "temperature": 0.9,
    });
    let answer = entry.chat(PROMPT, true).body(body.to_string()).send().await;
    assert!(answer.whole_stream(), "{:?}", answer.events());
    assert_eq!(fixture.started(), 1);
    let stats = fixture.engines.iter().map(|engine| engine.handler.stats());
    assert_eq!(stats.map(|stats| stats.resumed).sum::<u64>(), 1);
}

/// Neither a peer nor the log can store a copy of the bill. The last chunk and the end mark are
/// withheld: if the caller got them and this VM were lost, the answer would never be billed.
#[tokio::test]
async fn without_a_second_holder_of_the_bill_the_last_byte_is_withheld() {
    let fixture = Fixture::start(1).await;
    let settings = [("bill-timeout", "500ms")];
    let entry = fixture.entry_with("entry-1", &settings).await;
    let refused = Action::Refuse {
        status: 503,
        retry_after: Some(1),
        run: None,
    };
    fixture
        .log
        .faults
        .set_rules([Rule::new(refused).on("POST", "/streams/usage")]);
    for stream in [true, false] {
        let answer = entry.chat(PROMPT, stream).send().await;
        assert!(!answer.whole_stream());
        let failure = if answer.status == StatusCode::OK {
            serde_json::from_str(answer.events().last().unwrap()).unwrap()
        } else {
            answer.error_body()
        };
        assert_eq!(failure.error.code, "bills_unavailable", "{answer:?}");
        assert_eq!(failure.error.run, Run::Ran);
    }
    assert!(fixture.bills().is_empty());
}
