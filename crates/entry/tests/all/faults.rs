//! Faults of engines, and what callers receive.

use hyper::StatusCode;
use pimento_standin::Site;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_wire::api::Run;

use crate::support::PATIENCE;
use crate::support::World;
use crate::support::until;

const PROMPT: &str = "tell me all. answer in 30 tokens";
const CHAT: &str = "/v1/chat/completions";
const ATTEMPTS: &str = "/v1/attempts/";

fn first(action: Action) -> Vec<Rule> {
    vec![Rule::new(action).on("POST", CHAT).times(1)]
}

/// Faults that the caller must not notice: the answer is whole, in order, and billed once.
fn mended() -> Vec<(&'static str, Vec<Rule>)> {
    let cut = || {
        Rule::new(Action::Cut { after: 7 })
            .on("POST", CHAT)
            .times(1)
    };
    vec![
        ("cut once", first(Action::Cut { after: 7 })),
        (
            "cut before the first event",
            first(Action::Cut { after: 0 }),
        ),
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
            "cut, and the engine forgot the attempt",
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
            "the end mark lost, and the engine forgot the attempt",
            vec![
                Rule::new(Action::Skip { event: 30 })
                    .on("POST", CHAT)
                    .times(1),
                Rule::new(Action::Drop).on("GET", ATTEMPTS),
            ],
        ),
        ("a piece twice", first(Action::Duplicate { event: 4 })),
        (
            "two pieces in the wrong order",
            first(Action::Reorder { event: 4 }),
        ),
        (
            "the last two in the wrong order",
            first(Action::Reorder { event: 28 }),
        ),
        (
            "the end mark before the last piece",
            first(Action::Reorder { event: 29 }),
        ),
        ("a piece lost", first(Action::Skip { event: 9 })),
        ("the last piece lost", first(Action::Skip { event: 29 })),
        ("the end mark lost", first(Action::Skip { event: 30 })),
        ("silence in the middle", first(Action::Stall { event: 11 })),
        ("nonsense", first(Action::Garbage)),
        ("no answer", first(Action::LoseAnswer)),
        ("closed without a word", first(Action::Drop)),
        ("late by a little", first(Action::Late { ms: 200 })),
        (
            "an error that does not say whether it ran",
            first(Action::Refuse {
                status: 500,
                retry_after: None,
                run: None,
            }),
        ),
        (
            "refused as not started",
            first(Action::Refuse {
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
        let cases = mended().into_iter();
        cases.map(move |(what, rules)| tokio::spawn(case(what, rules, stream)))
    });
    for case in cases.collect::<Vec<_>>() {
        case.await.unwrap();
    }
}

/// Each case has a platform of its own, so that its retries are not paid for by another's.
async fn case(what: &'static str, rules: Vec<Rule>, stream: bool) {
    let world = World::start(2).await;
    let entry = world.entry("entry-1").await;
    let wanted = entry.chat(PROMPT, false).send().await.completion();
    let wanted = wanted.choices[0].message.content.clone();
    // The same prompt goes to the same engine first, for its prefix cache.
    let asked = world.engines.iter().find(|e| e.site.stats().started == 1);
    asked.unwrap().faults.rules(rules);
    let answer = entry.chat(PROMPT, stream).send().await;
    assert_eq!(
        answer.status,
        StatusCode::OK,
        "{what}, {stream}: {answer:?}"
    );
    if stream {
        assert!(answer.whole_stream(), "{what}: {:?}", answer.events());
        assert_eq!(answer.streamed(), wanted, "{what}");
    } else {
        let text = answer.completion().choices[0].message.content.clone();
        assert_eq!(text, wanted, "{what}");
    }
    until("both bills are on the log", || world.bills().len() >= 2).await;
    assert_eq!(world.bills().len(), 2, "{what}, {stream}");
}

/// Every engine cuts each stream, and every resume too. The caller has a part of the answer; it
/// gets an error event and no end mark, so that it can't take the part for the whole, and no bill.
#[tokio::test]
async fn a_stream_that_cannot_be_finished_ends_with_an_error_and_without_the_end_mark() {
    let world = World::start(2).await;
    let entry = world.entry("entry-1").await;
    for engine in &world.engines {
        engine.faults.rules([
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
    assert!(world.bills().is_empty());
}

/// All engines refuse and say that they did not start the call: the caller may be told the same.
/// As soon as one of them leaves it open, the truth is that nobody knows.
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
    let world = World::start(2).await;
    let entry = world.entry("entry-1").await;
    for engine in &world.engines {
        engine.faults.rules([refuse(Some(Run::NotRun))]);
    }
    // It waits for a slot that an engine does give, until its time is short. The last word is the
    // gate's or the engines'.
    let ask = entry.chat(PROMPT, false).header("request-timeout", "2");
    let answer = ask.send().await;
    let code = answer.failure().error.code;
    assert!(code == "overloaded" || code == "no_endpoint", "{answer:?}");
    assert_eq!(answer.failure().error.run, Run::NotRun);
    assert_ne!(answer.header("retry-after"), "");
    assert_eq!(world.started(), 0);
    for engine in &world.engines {
        engine.faults.rules([refuse(None)]);
    }
    let answer = entry.chat(PROMPT, false).send().await;
    assert_eq!(answer.failure().error.run, Run::Unknown, "{answer:?}");
}

/// All engines refuse and say to come back in an hour; the caller waits for ten minutes at most. It hears
/// at once, with when to come back, and is not held while the engines are asked again and again: the
/// wait for this answer is bounded far below the caller's time.
#[tokio::test]
async fn who_cannot_be_served_in_time_hears_at_once() {
    let world = World::start(2).await;
    let entry = world.entry("entry-1").await;
    for engine in &world.engines {
        let refuse = Action::Refuse {
            status: 503,
            retry_after: Some(3_600),
            run: Some(Run::NotRun),
        };
        engine.faults.rules([Rule::new(refuse).on("POST", CHAT)]);
    }
    let ask = entry.chat(PROMPT, false).header("request-timeout", "600");
    let answer = tokio::time::timeout(PATIENCE, ask.send()).await.unwrap();
    assert_eq!(answer.failure().error.run, Run::NotRun);
    let after: u64 = answer.header("retry-after").parse().unwrap();
    assert!(after > 3_000, "come back in {after} s");
    assert_eq!(world.started(), 0);
}

/// The caller hangs up in the middle of a stream. The engine is told to stop, so that it does not
/// generate for nobody, and there is no bill for an answer that nobody got.
#[tokio::test]
async fn a_caller_that_goes_away_has_its_attempt_cancelled() {
    let world = World::start(1).await;
    world.engines[0].site.change(|settings| {
        settings.token_us = 20_000;
        settings.linger_ms = 600_000;
    });
    let entry = world.entry("entry-1").await;
    let ask = entry.chat("answer in 200 tokens", true);
    let asked = tokio::spawn(ask.send());
    until("the engine has begun", || world.started() == 1).await;
    asked.abort();
    until("the engine was told to stop", || {
        world.engines[0].site.stats().cancelled == 1
    })
    .await;
    assert!(world.bills().is_empty());
}

/// One engine hangs. A short request that has had no first piece for longer than its version usually
/// takes is sent to a second engine, and the caller gets that one's answer long before the time at
/// which the first would be given up.
#[tokio::test]
async fn a_short_request_at_a_hung_engine_is_hedged() {
    let world = World::start(2).await;
    let settings = [("stall-timeout", "1h")];
    let entry = world.entry_with("entry-1", &settings).await;
    for number in 0..30 {
        let prompt = format!("warm up {number}: answer in 3 tokens");
        let answer = entry.chat(&prompt, false).send().await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    world.engines[0]
        .faults
        .rules([Rule::new(Action::Hang).on("POST", CHAT)]);
    let before = world.engines[1].site.stats().started;
    let mut asked = 0;
    // Each prompt has an engine of its own by its prefix; some are the hung one's.
    while world.engines[0].faults.table().rules[0].hits == 0 {
        let prompt = format!("question {asked}: answer in 3 tokens");
        let ask = entry.chat(&prompt, false);
        let answer = ask.header("request-timeout", "3600").send().await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        asked += 1;
    }
    assert_eq!(world.engines[1].site.stats().started, before + asked);
}

/// One engine hangs. A long request is not hedged; without a first piece for much longer than usual it
/// is given up and made again at the other engine, if the retry budgets pay for that. Its caller
/// would else wait for half of an hour, the time that it gave.
#[tokio::test]
async fn a_long_request_at_a_hung_engine_is_made_again() {
    let world = World::start(2).await;
    let settings = [("stall-timeout", "1h")];
    let entry = world.entry_with("entry-1", &settings).await;
    for number in 0..30 {
        let prompt = format!("warm up {number}: answer in 3 tokens");
        let answer = entry.chat(&prompt, false).send().await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    world.engines[0]
        .faults
        .rules([Rule::new(Action::Hang).on("POST", CHAT)]);
    let mut asked = 0;
    while world.engines[0].faults.table().rules[0].hits == 0 {
        let long = "drum ".repeat(6_000);
        let prompt = format!("review {asked}: answer in 3 tokens. {long}");
        let ask = entry.chat(&prompt, false);
        let answer = ask.header("request-timeout", "3600").send().await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        asked += 1;
    }
    until("one bill for each", || world.bills().len() == 30 + asked).await;
}

/// The answer is drawn at random, so that another attempt would tell it differently. After a cut the
/// same attempt is resumed at the same engine, and no second one is begun.
#[tokio::test]
async fn an_answer_that_is_not_deterministic_is_resumed_and_not_told_again() {
    let world = World::start(2).await;
    let entry = world.entry("entry-1").await;
    for engine in &world.engines {
        engine.faults.rules(first(Action::Cut { after: 7 }));
    }
    let body = serde_json::json!({
        "model": "stock",
        "messages": [{"role": "user", "content": PROMPT}],
        "stream": true,
        "temperature": 0.9,
    });
    let answer = entry.chat(PROMPT, true).body(body.to_string()).send().await;
    assert!(answer.whole_stream(), "{:?}", answer.events());
    assert_eq!(world.started(), 1);
    let stats = world.engines.iter().map(|engine| engine.site.stats());
    assert_eq!(stats.map(|stats| stats.resumed).sum::<u64>(), 1);
}

/// No peer and no log can take a copy of the bill. The last piece and the end mark are withheld: had
/// the caller got them and this VM been lost, the answer would never be billed.
#[tokio::test]
async fn without_a_second_holder_of_the_bill_the_last_byte_is_withheld() {
    let world = World::start(1).await;
    let settings = [("bill-timeout", "500ms")];
    let entry = world.entry_with("entry-1", &settings).await;
    let refused = Action::Refuse {
        status: 503,
        retry_after: Some(1),
        run: None,
    };
    world
        .log
        .faults
        .rules([Rule::new(refused).on("POST", "/streams/usage")]);
    for stream in [true, false] {
        let answer = entry.chat(PROMPT, stream).send().await;
        assert!(!answer.whole_stream());
        let failure = if answer.status == StatusCode::OK {
            serde_json::from_str(answer.events().last().unwrap()).unwrap()
        } else {
            answer.failure()
        };
        assert_eq!(failure.error.code, "bills_unavailable", "{answer:?}");
        assert_eq!(failure.error.run, Run::Ran);
    }
    assert!(world.bills().is_empty());
}
