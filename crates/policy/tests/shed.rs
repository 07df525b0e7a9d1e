//! Load shedding: many VMs before one plain endpoint that gets more calls than it can answer.

use std::time::Duration;

use pimento_policy::shed;
use pimento_policy::shed::Delay;
use pimento_policy::shed::UsualTarget;
use pimento_units::Moment;

/// The endpoint: calls that run at once and that wait, and the time of a call.
const SLOTS: u32 = 6;
const QUEUE: usize = 24;
const RUN_MILLIS: u32 = 33;

/// Answers per second of the busy endpoint.
fn capacity() -> f64 {
    1_000.0 * f64::from(SLOTS) / f64::from(RUN_MILLIS)
}

const VMS: usize = 79;
const TARGET: Duration = Duration::from_millis(200);

/// Time after which a call that found the queue full learns of it, and that it then waits at its VM.
const REFUSAL_MILLIS: u64 = 100;
const RETRY_MILLIS: u64 = 50;
const MAX_CALLS: u32 = 4;

const STEPS: u64 = 20_000;

/// A small generator, so that each run is the same.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn happens(&mut self, probability: f64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "53 bits are exact")]
        let unit = (self.next() >> 11) as f64 / (1_u64 << 53) as f64;
        unit < probability
    }
}

/// A caller's request at a VM.
#[derive(Clone, Copy)]
struct Request {
    vm: usize,
    arrived: u64,
    /// When its last call was sent.
    sent: u64,
    calls: u32,
}

#[derive(Debug, Default)]
struct Result {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

fn at(step: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(1_000 + step)
}

/// Plays `load` times the endpoint's capacity, a step a millisecond.
fn play(load: f64, sheds: bool) -> Result {
    let mut random = Random(88_172_645_463_325_252);
    let mut delays = vec![Delay::default(); VMS];
    let mut usual = vec![UsualTarget::default(); VMS];
    let mut running: Vec<(u64, Request)> = Vec::new();
    let mut waiting: Vec<Request> = Vec::new();
    // When something happens to a request: a call of it is due, or its refusal reaches the VM.
    let mut due: Vec<(u64, Request)> = Vec::new();
    let mut refusals: Vec<(u64, Request)> = Vec::new();
    let mut result = Result::default();
    for step in 0..STEPS {
        if random.happens(load * capacity() / 1_000.0) {
            let vm = usize::try_from(random.next()).unwrap_or(0) % VMS;
            result.asked += 1;
            due.push((
                step,
                Request {
                    vm,
                    arrived: step,
                    sent: step,
                    calls: 0,
                },
            ));
        }
        let (back, later) = refusals.into_iter().partition(|(when, _)| *when <= step);
        refusals = later;
        let back: Vec<(u64, Request)> = back;
        for (_, request) in back {
            let took = Duration::from_millis(step - request.sent);
            delays[request.vm].record(took * 2, at(step));
            due.push((step + RETRY_MILLIS, request));
        }
        let (now, later) = due.into_iter().partition(|(when, _)| *when <= step);
        due = later;
        let now: Vec<(u64, Request)> = now;
        for (_, mut request) in now {
            let left = TARGET.saturating_sub(Duration::from_millis(step - request.arrived));
            let expected = delays[request.vm].expected(at(step));
            let target = usual[request.vm].record(TARGET);
            let sent = !sheds || shed::accepts(expected, left, target, random.next());
            if !sent || request.calls == MAX_CALLS {
                result.refused += 1;
                continue;
            }
            request.calls += 1;
            request.sent = step;
            if waiting.len() < QUEUE {
                waiting.push(request);
            } else {
                refusals.push((step + REFUSAL_MILLIS, request));
            }
        }
        let (done, rest) = running.into_iter().partition(|(end, _)| *end <= step);
        running = rest;
        let done: Vec<(u64, Request)> = done;
        for (_, request) in done {
            let took = Duration::from_millis(step - request.sent);
            delays[request.vm].record(took, at(step));
            if Duration::from_millis(step - request.arrived) <= TARGET {
                result.in_time += 1;
            } else {
                result.late += 1;
            }
        }
        while running.len() < SLOTS as usize && !waiting.is_empty() {
            running.push((step + u64::from(RUN_MILLIS), waiting.remove(0)));
        }
    }
    result
}

/// Guards against an overloaded endpoint that is busy all the while and answers hardly anyone in time,
/// because calls that found its queue full come again and push the others back.
#[test]
fn under_overload_more_callers_are_answered_in_time_and_fewer_wait_in_vain() {
    for load in [1.1, 1.3, 1.7] {
        let before = play(load, false);
        let after = play(load, true);
        assert!(
            after.in_time > before.in_time,
            "{load}: {before:?}, {after:?}"
        );
        assert!(
            after.late * 2 < before.late,
            "{load}: {before:?}, {after:?}"
        );
        let capacity = capacity() * f64::from(u32::try_from(STEPS).unwrap()) / 1_000.0;
        let used = f64::from(after.in_time + after.late) / capacity;
        assert!(
            used > 0.85,
            "{load}: {used} of what the endpoint can answer"
        );
    }
}

/// Guards against callers that are refused although the endpoint has room.
#[test]
fn without_overload_hardly_a_call_is_refused() {
    for load in [0.3, 0.6, 0.8] {
        let result = play(load, true);
        assert!(result.refused * 50 < result.asked, "{load}: {result:?}");
    }
}

/// Guards against refusals that go on after the endpoint has recovered.
#[test]
fn an_estimate_without_answers_fades() {
    let mut delay = Delay::default();
    for step in 0..20 {
        delay.record(Duration::from_secs(1), at(step));
    }
    assert!(delay.expected(at(20)) > Duration::from_millis(900));
    assert!(delay.expected(at(4_000)) < Duration::from_millis(100));
    assert_eq!(Delay::default().expected(at(0)), Duration::ZERO);
}
