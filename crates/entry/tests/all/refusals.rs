//! Requests that are refused before dispatch. The engines' own count of calls shows whether
//! `not_run` is true.

use hyper::Method;
use hyper::StatusCode;
use pimento_wire::api::Run;

use crate::support::Entry;
use crate::support::Fixture;
use crate::support::RequestBuilder;
use crate::support::name;
use crate::support::wait_until;

/// Name of the case, the request, and the expected status and error code.
type Case = (
    &'static str,
    fn(&Entry) -> RequestBuilder,
    u16,
    &'static str,
);

fn chat(entry: &Entry) -> RequestBuilder {
    entry.chat("answer in 5 tokens", false)
}

fn with_body(entry: &Entry, body: &'static str) -> RequestBuilder {
    chat(entry).body(body)
}

const CASES: &[Case] = &[
    (
        "no key",
        |e| chat(e).without("authorization"),
        401,
        "missing_api_key",
    ),
    (
        "another scheme",
        |e| chat(e).header("authorization", "Basic abc"),
        401,
        "missing_api_key",
    ),
    (
        "an unknown key",
        |e| chat(e).header("authorization", "Bearer no"),
        401,
        "invalid_api_key",
    ),
    ("no JSON", |e| with_body(e, "{"), 400, "malformed_body"),
    (
        "no messages",
        |e| with_body(e, r#"{"model":"stock","messages":[]}"#),
        400,
        "malformed_body",
    ),
    (
        "no tokens wanted",
        |e| {
            with_body(
                e,
                r#"{"model":"stock","max_tokens":0,"messages":[{"role":"user","content":"a"}]}"#,
            )
        },
        400,
        "malformed_body",
    ),
    (
        "an unknown model",
        |e| {
            with_body(
                e,
                r#"{"model":"gpt","messages":[{"role":"user","content":"a"}]}"#,
            )
        },
        404,
        "model_not_found",
    ),
    (
        "a large body",
        |e| chat(e).body(vec![b' '; 70_000]),
        413,
        "body_too_large",
    ),
    (
        "a bad id",
        |e| chat(e).header("idempotency-key", "seven"),
        400,
        "bad_header",
    ),
    (
        "a bad timeout",
        |e| chat(e).header("request-timeout", "-1"),
        400,
        "bad_header",
    ),
    (
        "no time at all",
        |e| chat(e).header("request-timeout", "0"),
        400,
        "bad_header",
    ),
    (
        "a forged session",
        |e| chat(e).header("session-token", "abcd"),
        400,
        "bad_session_token",
    ),
    (
        "a wrong method",
        |e| e.request(Method::PUT, "/v1/chat/completions"),
        405,
        "wrong_method",
    ),
    (
        "a wrong path",
        |e| e.request(Method::GET, "/v2"),
        404,
        "unknown_path",
    ),
    (
        "an unknown service",
        |e| e.request(Method::GET, "/services/bakery/x"),
        404,
        "service_not_found",
    ),
    (
        "an id whose age can't be read, for an order",
        |e| e.order("7d444840-9dc0-11d1-b245-5ffdce74fad2"),
        400,
        "bad_request_id",
    ),
    (
        "an old id, for an order",
        |e| e.order("01890a5d-ac96-774b-bcce-b302099a8057"),
        400,
        "bad_request_id",
    ),
];

#[tokio::test]
async fn bad_input_is_refused_as_not_run_and_never_sent_on() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry("entry-1").await;
    for (what, request, status, code) in CASES {
        let answer = request(&entry).send().await;
        assert_eq!(answer.status.as_u16(), *status, "{what}: {answer:?}");
        let failure = answer.error_body();
        assert_eq!(failure.error.code, *code, "{what}");
        assert_eq!(failure.error.run, Run::NotRun, "{what}");
        assert_eq!(answer.header("run"), "not_run", "{what}");
    }
    assert_eq!(fixture.started(), 0);
    assert_eq!(fixture.runs("01890a5d-ac96-774b-bcce-b302099a8057"), 0);
    assert!(fixture.bills().is_empty());
}

/// The customer's spend limit is below the price of one answer. The request is refused before
/// dispatch, with the limit as the reason.
#[tokio::test]
async fn a_request_over_the_spend_limit_is_not_run() {
    let fixture = Fixture::start(1).await;
    let mut contract = crate::support::contract(&[crate::support::SMALL], 0.5);
    contract.spend.limit = pimento_units::Money::from_micros(10);
    fixture.publish(pimento_contract::Value::Contract(contract));
    let entry = fixture.entry("entry-1").await;
    let answer = chat(&entry).send().await;
    assert_eq!(answer.status, StatusCode::PAYMENT_REQUIRED);
    assert_eq!(answer.error_body().error.code, "spend_limit");
    assert_eq!(answer.error_body().error.run, Run::NotRun);
    assert_ne!(answer.header("retry-after"), "");
    assert_eq!(fixture.started(), 0);
}

/// Long answers occupy all slots, and a caller's timeout is one second. The request is refused
/// immediately as not run, with `retry-after`, rather than after a wait that can't succeed.
#[tokio::test]
async fn work_that_cannot_start_in_time_is_refused_at_once() {
    let fixture = Fixture::start(1).await;
    fixture.engines[0]
        .handler
        .change(|settings| settings.token_us = 50_000);
    let entry = fixture.entry("entry-1").await;
    let pool = entry.running.node.scheduler.pool(&name("pimento-llm"));
    let send_long = || {
        let request = entry.chat("answer in 400 tokens", false);
        tokio::spawn(request.header("request-timeout", "600").send())
    };
    let pending: Vec<_> = (0..60).map(|_| send_long()).collect();
    wait_until("many requests wait", || pool.metrics().waiting > 20).await;
    let answer = chat(&entry).header("request-timeout", "1").send().await;
    assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS, "{answer:?}");
    assert_eq!(answer.error_body().error.code, "overloaded");
    assert_eq!(answer.error_body().error.run, Run::NotRun);
    assert_ne!(answer.header("retry-after"), "");
    for pending in pending {
        pending.abort();
    }
}

/// All memory for requests in flight is in use. The next request is refused before its body is
/// read, and a later one is served once memory is free again.
#[tokio::test]
async fn requests_beyond_the_memory_for_them_are_refused() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry("entry-1").await;
    let memory = std::sync::Arc::clone(&entry.running.node.request_memory);
    let all = u32::try_from(memory.available_permits()).unwrap();
    let reserved = memory.try_acquire_many_owned(all).unwrap();
    let answer = chat(&entry).send().await;
    assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS, "{answer:?}");
    assert_eq!(answer.error_body().error.run, Run::NotRun);
    assert_eq!(fixture.started(), 0);
    drop(reserved);
    assert_eq!(chat(&entry).send().await.status, StatusCode::OK);
}
