//! The fair queue: no job is lost, refused after dispatch or served out of turn.

use std::time::Duration;

use pimento_policy::queue::Config;
use pimento_policy::queue::Dispatch;
use pimento_policy::queue::Job;
use pimento_policy::queue::Queue;
use pimento_policy::queue::Ticket;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config as Runner;
use proptest::test_runner::RngSeed;

const SLOTS: u32 = 20;

fn customer(number: u8) -> id::Customer {
    format!("workspace-{number}").parse().expect("a name")
}

fn job(number: u8, priority: u8, tokens: u64, start_by: Moment) -> Job {
    Job {
        customer: customer(number),
        weight: 1,
        priority,
        tokens: Tokens(tokens),
        start_by,
    }
}

const NEVER: Moment = Moment::from_nanos(u64::MAX);

#[derive(Debug, Clone)]
enum Step {
    Enqueue(u8, u8, u64, u64),
    Next,
    Done,
    Cancel(usize),
    Expire(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..5, 0_u8..3, 1_u64..5_000, 0_u64..2_000)
            .prop_map(|(c, p, t, s)| Step::Enqueue(c, p, t, s)),
        3 => proptest::strategy::Just(Step::Next),
        2 => proptest::strategy::Just(Step::Done),
        1 => (0_usize..200).prop_map(Step::Cancel),
        1 => (0_u64..50).prop_map(Step::Expire),
    ]
}

proptest! {
    #![proptest_config(Runner { cases: 256, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Runner::default() })]

    /// Each job leaves the queue once: dispatched, cancelled or expired. A dispatched job can't be refused.
    /// The waiting work is the work that arrived less the work that left.
    #[test]
    fn jobs_leave_once_and_work_is_conserved(steps in vec(step(), 1..300)) {
        let mut queue = Queue::new(Config::default());
        let mut now = Moment::ZERO;
        let mut waiting: Vec<(Ticket, u64)> = Vec::new();
        let mut gone: Vec<Ticket> = Vec::new();
        let mut running: Vec<Dispatch> = Vec::new();
        for step in steps {
            match step {
                Step::Enqueue(who, priority, tokens, after) => {
                    let start_by = now + Duration::from_millis(after);
                    waiting.push((queue.enqueue(job(who, priority, tokens, start_by)), tokens));
                }
                Step::Next => if let Some(dispatch) = queue.next(now, SLOTS) {
                    let index = waiting.iter().position(|(t, _)| *t == dispatch.ticket);
                    let (ticket, tokens) = waiting.remove(index.expect("the job was waiting"));
                    assert_eq!(dispatch.tokens, Tokens(tokens));
                    assert!(!queue.cancel(ticket), "no refusal after dispatch");
                    gone.push(ticket);
                    running.push(dispatch);
                },
                Step::Done => if let Some(dispatch) = running.pop() { queue.release(&dispatch); },
                Step::Cancel(index) => if !waiting.is_empty() {
                    let (ticket, _) = waiting.remove(index % waiting.len());
                    assert!(queue.cancel(ticket));
                    assert!(!queue.cancel(ticket), "cancelled once");
                    gone.push(ticket);
                },
                Step::Expire(after) => {
                    now = now + Duration::from_millis(after);
                    for ticket in queue.expire(now) {
                        let index = waiting.iter().position(|(t, _)| *t == ticket);
                        waiting.remove(index.expect("the job was waiting"));
                        gone.push(ticket);
                    }
                }
            }
            let work: u64 = waiting.iter().map(|(_, tokens)| tokens).sum();
            assert_eq!(queue.backlog(), Tokens(work));
            assert_eq!(queue.len(), waiting.len());
            assert!(gone.iter().all(|ticket| !waiting.iter().any(|(t, _)| t == ticket)));
        }
    }

    /// Two customers that always wait get the same work, up to the difference of a turn and the largest
    /// job.
    #[test]
    fn equal_customers_get_equal_work(sizes in vec((1_u64..900, 1_u64..900), 60..100)) {
        let config = Config::default();
        let mut queue = Queue::new(config);
        let mut owners: Vec<(Ticket, usize)> = Vec::new();
        for (one, other) in &sizes {
            owners.push((queue.enqueue(job(0, 0, *one, NEVER)), 0));
            owners.push((queue.enqueue(job(1, 0, *other, NEVER)), 1));
        }
        let mut work = [0_u64; 2];
        let mut left = [sizes.len(); 2];
        while left[0] > 0 && left[1] > 0 {
            let dispatch = queue.next(Moment::ZERO, SLOTS).expect("both customers wait");
            let owner = owners.iter().find(|(ticket, _)| *ticket == dispatch.ticket);
            let (_, owner) = owner.expect("a known ticket");
            work[*owner] += dispatch.tokens.0;
            left[*owner] -= 1;
            queue.release(&dispatch);
            assert!(work[0].abs_diff(work[1]) <= config.quantum.0 + 900, "{work:?}");
        }
    }
}

// A class of lower priority that always waits gets its minimum share, or priority would mean starvation.
#[test]
fn lower_class_gets_its_minimum_share() {
    let mut queue = Queue::new(Config::default());
    for _ in 0..1_000 {
        queue.enqueue(job(0, 0, 100, NEVER));
        queue.enqueue(job(1, 1, 100, NEVER));
    }
    let mut low = 0;
    for _ in 0..500 {
        let before = queue.work_ahead(&customer(9), 1, 0, Tokens(u64::from(u32::MAX)));
        let dispatch = queue
            .next(Moment::ZERO, SLOTS)
            .expect("both customers wait");
        let after = queue.work_ahead(&customer(9), 1, 0, Tokens(u64::from(u32::MAX)));
        low += u32::from(before == after);
        queue.release(&dispatch);
    }
    assert!(
        (45..=55).contains(&low),
        "{low} of 500 went to the lower class"
    );
}

// Long jobs hold at most their share of the slots, however many wait, so that a short job still finds a
// slot.
#[test]
fn long_jobs_hold_a_share_of_the_slots() {
    let config = Config::default();
    let mut queue = Queue::new(config);
    for _ in 0..50 {
        queue.enqueue(job(0, 0, config.long_threshold.0, NEVER));
    }
    let mut running = Vec::new();
    while let Some(dispatch) = queue.next(Moment::ZERO, SLOTS) {
        assert!(dispatch.long);
        running.push(dispatch);
    }
    assert_eq!(running.len(), 4, "a fifth of twenty slots");
    queue.enqueue(job(0, 0, 10, NEVER));
    let short = queue
        .next(Moment::ZERO, SLOTS)
        .expect("a short job finds a slot");
    assert!(!short.long);
    queue.release(&running[0]);
    assert!(
        queue
            .next(Moment::ZERO, SLOTS)
            .is_some_and(|next| next.long)
    );
}

// A thousand jobs of a busy customer arrived before the first job of a quiet one, but only one turn of them
// is served before it. The admission gate must count no more than that turn, or it would refuse the quiet
// customer.
#[test]
fn quiet_customer_waits_one_turn() {
    let config = Config::default();
    let mut queue = Queue::new(config);
    for _ in 0..1_000 {
        queue.enqueue(job(0, 0, 100, NEVER));
    }
    let ahead = queue.work_ahead(&customer(1), 1, 0, Tokens(100));
    assert_eq!(ahead, config.quantum);
    let ticket = queue.enqueue(job(1, 0, 100, NEVER));
    let turns = std::iter::from_fn(|| queue.next(Moment::ZERO, SLOTS));
    let before = turns
        .take_while(|dispatch| dispatch.ticket != ticket)
        .count();
    assert!(before <= 10, "{before} jobs went before it");
}

// A job that can no longer start in time is returned for refusal as soon as that is known. It is not
// dispatched either, since its answer would come too late.
#[test]
fn expired_jobs_are_returned_and_not_dispatched() {
    let mut queue = Queue::new(Config::default());
    let late = queue.enqueue(job(0, 0, 100, Moment::from_millis(10)));
    let good = queue.enqueue(job(0, 0, 100, Moment::from_millis(500)));
    assert_eq!(queue.next_expiry(), Some(Moment::from_millis(10)));
    let now = Moment::from_millis(20);
    assert_eq!(queue.next(now, SLOTS).map(|next| next.ticket), Some(good));
    assert_eq!(queue.expire(now), vec![late]);
    assert!(queue.is_empty());
    assert_eq!(queue.next_expiry(), None);
}

/// Numbers at which sums and products of 64 bits wrap, and some below them.
fn any_number() -> impl Strategy<Value = u64> {
    prop_oneof![
        0_u64..2,
        (0_u32..64, 0_u64..3).prop_map(|(bits, off)| (1_u64 << bits).saturating_sub(off)),
        (0_u64..2_000).prop_map(|off| u64::MAX - off),
    ]
}

proptest! {
    #![proptest_config(Runner { cases: 512, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Runner::default() })]

    /// Guards against a job whose work wraps a sum, so that the search for the next job never ends.
    #[test]
    fn jobs_of_any_work_and_weight_are_dispatched(
        jobs in vec((0_u8..4, 0_u8..2, any_number(), any_number()), 1..24),
        slots in 1_u32..20,
    ) {
        let mut queue = Queue::new(Config::default());
        for (number, priority, tokens, weight) in jobs.iter().copied() {
            let weight = u32::try_from(weight).unwrap_or(u32::MAX);
            let ahead = queue.work_ahead(&customer(number), weight, priority, Tokens(tokens));
            assert!(ahead >= Tokens::ZERO);
            queue.enqueue(Job { weight, ..job(number, priority, tokens, NEVER) });
        }
        for left in (0..jobs.len()).rev() {
            let dispatch = queue.next(Moment::ZERO, slots).expect("a job waits");
            queue.release(&dispatch);
            assert_eq!(queue.len(), left);
        }
        assert_eq!(queue.backlog(), Tokens::ZERO);
    }
}
