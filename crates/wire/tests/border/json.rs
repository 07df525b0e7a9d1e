//! JSON from outside: unknown fields are ignored, so that client libraries and engines can add fields,
//! and arbitrary text is read or rejected without a panic.

use std::fmt::Debug;

use pimento_units::Wall;
use pimento_wire::api::Chat;
use pimento_wire::api::Choice;
use pimento_wire::api::Chunk;
use pimento_wire::api::ChunkChoice;
use pimento_wire::api::Completion;
use pimento_wire::api::Delta;
use pimento_wire::api::Error;
use pimento_wire::api::ErrorBody;
use pimento_wire::api::Message;
use pimento_wire::api::Run;
use pimento_wire::api::Usage;
use pimento_wire::engine::CacheChanges;
use pimento_wire::engine::Event;
use pimento_wire::engine::Load;
use pimento_wire::operators::State;
use pimento_wire::platform::Batch;
use pimento_wire::platform::Entry;
use proptest::collection::vec;
use proptest::option::of;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::TestCaseError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::values::evidence;
use crate::values::name;
use crate::values::offset;
use crate::values::text;

/// Fields that clients of the widely used format send, or may send in the future.
const UNKNOWN: &[&str] = &["logprobs", "seed", "user", "x_trace", "type_", "", "é"];

fn extra() -> impl Strategy<Value = (String, Value)> {
    let value = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
        Just(json!({"deep": [1, {"deeper": null}]})),
    ];
    (select(UNKNOWN).prop_map(String::from), value)
}

/// Adds a field to each object.
fn add_field(value: &mut Value, (field, added): &(String, Value)) {
    match value {
        Value::Array(items) => items
            .iter_mut()
            .for_each(|item| add_field(item, &(field.clone(), added.clone()))),
        Value::Object(fields) => {
            fields
                .values_mut()
                .for_each(|item| add_field(item, &(field.clone(), added.clone())));
            fields.insert(field.clone(), added.clone());
        }
        _ => {}
    }
}

/// Checks that a message survives a round trip, with and without an unknown field.
fn check_round_trip<T>(message: &T, extra: &(String, Value)) -> Result<(), TestCaseError>
where
    T: Debug + PartialEq + Serialize + DeserializeOwned,
{
    let plain = serde_json::to_string(message).unwrap();
    prop_assert_eq!(&serde_json::from_str::<T>(&plain).unwrap(), message);
    let mut value = serde_json::to_value(message).unwrap();
    add_field(&mut value, extra);
    let extended: T = serde_json::from_str(&value.to_string()).unwrap();
    prop_assert_eq!(&extended, message);
    Ok(())
}

fn message() -> impl Strategy<Value = Message> {
    (text(), any::<String>()).prop_map(|(role, content)| Message { role, content })
}

fn chat() -> impl Strategy<Value = Chat> {
    let temperature = of((0_u16..200).prop_map(|hundredths| f32::from(hundredths) / 100.0));
    (
        text(),
        vec(message(), 0..4),
        any::<bool>(),
        of(any::<u64>()),
        temperature,
    )
        .prop_map(|(model, messages, stream, max_tokens, temperature)| Chat {
            model,
            messages,
            stream,
            max_tokens,
            temperature,
        })
}

fn usage() -> impl Strategy<Value = Usage> {
    any::<(u32, u32)>().prop_map(|(prompt, generated)| Usage {
        prompt_tokens: prompt.into(),
        completion_tokens: generated.into(),
        total_tokens: u64::from(prompt) + u64::from(generated),
    })
}

fn completion() -> impl Strategy<Value = Completion> {
    let choice =
        (any::<u32>(), message(), text()).prop_map(|(index, message, finish_reason)| Choice {
            index,
            message,
            finish_reason,
        });
    (text(), any::<u64>(), text(), vec(choice, 0..3), usage()).prop_map(
        |(id, created, model, choices, usage)| Completion {
            id,
            object: "chat.completion".into(),
            created,
            model,
            choices,
            usage,
        },
    )
}

fn chunk() -> impl Strategy<Value = Chunk> {
    let piece =
        (of(text()), of(any::<String>())).prop_map(|(role, content)| Delta { role, content });
    let delta =
        (any::<u32>(), piece, of(text())).prop_map(|(index, delta, finish_reason)| ChunkChoice {
            index,
            delta,
            finish_reason,
        });
    (text(), any::<u64>(), text(), vec(delta, 0..3), of(usage())).prop_map(
        |(id, created, model, choices, usage)| Chunk {
            id,
            object: "chat.completion.chunk".into(),
            created,
            model,
            choices,
            usage,
        },
    )
}

fn failure() -> impl Strategy<Value = ErrorBody> {
    let run = select(&[Run::NotRun, Run::Ran, Run::Unknown][..]);
    (text(), text(), any::<String>(), run).prop_map(|(kind, code, message, run)| ErrorBody {
        error: Error {
            kind,
            code,
            message,
            run,
        },
    })
}

fn load() -> impl Strategy<Value = Load> {
    let counts = any::<(u64, u32, u32, u32, u64)>();
    (name(), counts, vec(name(), 0..4), any::<bool>()).prop_map(
        |(endpoint, counts, versions, leaving)| Load {
            endpoint,
            incarnation: counts.0,
            running: counts.1,
            waiting: counts.2,
            batch: counts.3,
            age_ms: counts.4,
            versions,
            leaving,
        },
    )
}

fn cache() -> impl Strategy<Value = CacheChanges> {
    let event = any::<(u64, u64, bool)>().prop_map(|(sequence, prefix, added)| Event {
        sequence,
        prefix,
        added,
    });
    (any::<u64>(), vec(event, 0..4))
        .prop_map(|(sequence, events)| CacheChanges { sequence, events })
}

fn batch() -> impl Strategy<Value = Batch> {
    let wall = || any::<u64>().prop_map(Wall::from_millis);
    let entry = (offset(), wall(), any::<String>()).prop_map(|(offset, at, record)| Entry {
        offset,
        at,
        record,
    });
    (vec(entry, 0..4), offset(), offset(), wall()).prop_map(|(records, next, end, now)| Batch {
        records,
        next,
        end,
        now,
    })
}

fn state() -> impl Strategy<Value = State> {
    let head = (name(), name(), any::<bool>(), offset(), any::<u64>());
    (head, vec(evidence(), 0..4)).prop_map(|(head, evidence)| State {
        node: head.0,
        zone: head.1,
        ready: head.2,
        offset: head.3,
        age_ms: head.4,
        evidence,
    })
}

proptest! {
    #[test]
    fn messages_of_callers_survive_a_round_trip(chat in chat(), completion in completion(), chunk in chunk(), failure in failure(), extra in extra()) {
        check_round_trip(&chat, &extra)?;
        check_round_trip(&completion, &extra)?;
        check_round_trip(&chunk, &extra)?;
        check_round_trip(&failure, &extra)?;
    }

    #[test]
    fn messages_of_endpoints_and_the_platform_survive_a_round_trip(load in load(), cache in cache(), batch in batch(), state in state(), extra in extra()) {
        check_round_trip(&load, &extra)?;
        check_round_trip(&cache, &extra)?;
        check_round_trip(&batch, &extra)?;
        check_round_trip(&state, &extra)?;
    }

    /// Client libraries omit optional fields, or send null for them.
    #[test]
    fn a_call_requires_only_model_and_messages(chat in chat(), sent in any::<[Option<bool>; 3]>()) {
        let mut value = serde_json::to_value(&chat).unwrap();
        let mut expected = chat;
        let optional = ["stream", "max_tokens", "temperature"];
        for (field, sent) in optional.into_iter().zip(sent) {
            match sent {
                Some(true) => continue,
                Some(false) => value[field] = Value::Null,
                None => drop(value.as_object_mut().unwrap().remove(field)),
            }
            expected.stream &= field != "stream";
            expected.max_tokens = expected.max_tokens.filter(|_| field != "max_tokens");
            expected.temperature = expected.temperature.filter(|_| field != "temperature");
        }
        let read: Chat = serde_json::from_value(value).unwrap();
        prop_assert_eq!(read, expected);
    }
}

/// Client libraries send a message's text in three forms. A part that is not text, and a number that
/// is out of range, must be rejected here, before the engine.
#[test]
fn message_texts_have_three_forms() {
    let read = |content: Value| {
        let message = serde_json::json!({"role": "user", "content": content});
        serde_json::from_value::<Message>(message).map(|message| message.content)
    };
    assert_eq!(read("how many?".into()).unwrap(), "how many?");
    assert_eq!(read(Value::Null).unwrap(), "");
    let parts =
        serde_json::json!([{"type": "text", "text": "how "}, {"type": "text", "text": "many?"}]);
    assert_eq!(read(parts).unwrap(), "how many?");
    assert!(read(serde_json::json!([{"type": "image_url", "image_url": {"url": "x"}}])).is_err());
    let hot = r#"{"model": "stock", "messages": [], "temperature": 1e99}"#;
    assert!(serde_json::from_str::<Chat>(hot).is_err());
}
