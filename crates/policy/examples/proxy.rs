//! A proxy's decisions over three pretend endpoints, one of them slow, with the caller's own clock
//! and random bits: 18 requests at once, 14 of them from one customer.
//!
//! `cargo run -p pimento-policy --example proxy`

use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::choice;
use pimento_policy::limit;
use pimento_policy::queue;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

const WORK: Tokens = Tokens(200);

fn candidate(place: usize, limiter: &limit::Limiter) -> choice::Candidate {
    choice::Candidate {
        name_hash: choice::hash(["a", "b", "c"][place]),
        usable: true,
        extra_delay: Duration::ZERO,
        own: limiter.in_flight(),
        limit: limiter.limit(),
        others: 0,
        report_age: Duration::ZERO,
        // The third takes three times as long.
        run_time: Duration::from_secs([4, 4, 12][place]),
    }
}

fn job(customer: &id::Customer, start_by: Moment) -> queue::Job {
    queue::Job {
        customer: customer.clone(),
        weight: 1,
        priority: 0,
        tokens: WORK,
        start_by,
    }
}

fn main() -> Result<(), id::Error> {
    let mut gate = admission::Gate::new(admission::Config::default());
    let mut queue = queue::Queue::new(queue::Config::default());
    let mut limits = [(); 3].map(|()| limit::Limiter::new(limit::Config::default()));
    let names: [id::Customer; 2] = ["hot".parse()?, "quiet".parse()?];
    let mut waiting = Vec::new();
    for n in 0_u64..18 {
        let customer = &names[usize::from(n >= 14)];
        let demand = admission::Demand {
            ahead: queue.work_ahead(customer, 1, 0, WORK),
            slots: limits.iter().map(limit::Limiter::limit).sum(),
            free: limits.iter().map(limit::Limiter::free).sum(),
            run_time: gate.run_time(WORK),
            deadline: Moment::ZERO + Duration::from_secs(10),
        };
        match gate.decide(demand, Moment::ZERO, n << 58) {
            admission::Verdict::Refuse { retry_after } => {
                println!("{customer}: refused, again in {retry_after:.1?}");
            }
            admission::Verdict::Admit { start_by } => {
                let ticket = queue.enqueue(job(customer, start_by));
                waiting.push((ticket, customer));
            }
        }
    }
    for n in 0_u64.. {
        let random = choice::hash(&n.to_string());
        let candidates = [0, 1, 2].map(|place| candidate(place, &limits[place]));
        let chosen = choice::choose(&candidates, None, random, &choice::Config::default());
        let Some(place) = chosen else { break };
        let next = queue.next(Moment::ZERO, 24).map(|job| job.ticket);
        let found = waiting.iter().find(|(ticket, _)| Some(*ticket) == next);
        let Some((_, customer)) = found else { break };
        println!("{customer}: sent to {place}: {}", limits[place].acquire());
    }
    Ok(())
}
