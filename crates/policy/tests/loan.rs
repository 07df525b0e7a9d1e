//! Loans between VMs that share a limit.

use std::time::Duration;

use pimento_policy::loan::Book;
use pimento_policy::loan::Lent;
use pimento_policy::loan::Meter;
use pimento_policy::loan::TERM;
use pimento_policy::loan::want;
use pimento_units::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Each VM's share of the limit, in calls per second.
const SHARE: f64 = 10.0;

/// The longest usual delay of a datagram, that of one in fifty, and the share that is lost.
const MAX_DELAY: Duration = Duration::from_millis(300);
const LONG_DELAY: Duration = Duration::from_secs(6);
const LOSS_RATE: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
enum Word {
    /// A rate, and when it was asked for.
    Want(f64, Moment),
    Loan(Lent),
}

/// VMs of a group with what they tell each other.
struct Group {
    books: Vec<Book>,
    demands: Vec<f64>,
    /// When a word arrives, from whom and at whom.
    words: Vec<(Moment, usize, usize, Word)>,
    random: StdRng,
}

impl Group {
    fn new(vms: usize, seed: u64) -> Self {
        Self {
            books: vec![Book::default(); vms],
            demands: vec![SHARE / 2.0; vms],
            words: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn tell(&mut self, from: usize, to: usize, word: Word, now: Moment) {
        if !self.random.random_bool(LOSS_RATE) {
            let long = self.random.random_bool(0.02);
            let most = if long { LONG_DELAY } else { MAX_DELAY };
            let delay = self.random.random_range(Duration::ZERO..most);
            self.words.push((now + delay, from, to, word));
        }
    }

    fn send(&mut self, from: usize, now: Moment) {
        let wanted = want(SHARE, self.demands[from]);
        for to in (0..self.books.len()).filter(|to| *to != from) {
            self.tell(from, to, Word::Want(wanted, now), now);
            let lent = self.books[from].lend(to as u64, SHARE, self.demands[from], now);
            if let Some(lent) = lent {
                self.tell(from, to, Word::Loan(lent), now);
            }
        }
    }

    fn receive(&mut self, now: Moment) {
        let due = self.words.extract_if(.., |(at, ..)| *at <= now);
        for (_, from, to, word) in due.collect::<Vec<_>>() {
            match word {
                Word::Want(rate, asked) => {
                    self.books[to].record_want(from as u64, rate, asked, now);
                }
                Word::Loan(Lent { part, asked }) => {
                    self.books[to].borrow(from as u64, part, asked + TERM);
                }
            }
        }
    }

    /// What a VM may use, as a multiple of its share.
    fn usable(&self, vm: usize, now: Moment) -> f64 {
        let borrowed = self.books[vm].borrowed(now).map(|(_, part)| part);
        self.books[vm].part_kept(now) + borrowed.sum::<f64>()
    }
}

/// Guards against VMs that together use more than the limit while callers move between them.
#[test]
fn the_shares_of_all_vms_never_exceed_the_limit() {
    for vms in [2_usize, 3, 9, 32] {
        let mut group = Group::new(vms, vms as u64);
        let mut busy = 0;
        let (mut settled, mut low) = (0, 0);
        for step in 0..1_200_u64 {
            let now = Moment::from_millis(10_000 + step * 50);
            if step % 200 == 0 {
                group.demands.fill(0.5);
                busy = group.random.random_range(0..vms);
                group.demands[busy] = SHARE * 40.0;
            }
            for vm in 0..vms {
                if (step + vm as u64).is_multiple_of(8) {
                    group.send(vm, now);
                }
                group.books[vm].expire(now);
            }
            group.receive(now);
            let sum: f64 = (0..vms).map(|vm| group.usable(vm, now)).sum();
            let limit = f64::from(u32::try_from(vms).unwrap());
            assert!(sum <= limit + 1e-9, "{sum:.2} of {vms} at {now}");
            // Loans to the VM that was busy before end within a few seconds.
            if step % 200 > 120 {
                settled += 1;
                low += u32::from(group.usable(busy, now) < 0.7 * limit);
            }
        }
        assert!(
            low * 20 <= settled,
            "{vms} VMs: {low} of {settled} times low"
        );
    }
}

/// Guards against a VM that lends what its own callers need.
#[test]
fn a_vm_lends_only_what_its_callers_leave() {
    let now = Moment::from_millis(1_000);
    let mut book = Book::default();
    let asked = Moment::from_millis(77);
    book.record_want(7, 100.0, asked, now);
    assert_eq!(book.lend(7, SHARE, SHARE, now), None);
    let lent = book.lend(7, SHARE, SHARE / 4.0, now).unwrap();
    assert_eq!(lent.asked, asked);
    let part = lent.part;
    assert!((0.6..0.7).contains(&part), "{part}");
    assert_eq!(book.lend(8, SHARE, 0.0, now), None);
    assert!((book.part_kept(now) - (1.0 - part)).abs() < 1e-9);
}

/// Guards against loans that go on after the VM that wanted them wants no more.
#[test]
fn a_want_ends() {
    let now = Moment::from_millis(1_000);
    let mut book = Book::default();
    book.record_want(7, 100.0, now, now);
    assert_eq!(book.lend(7, SHARE, 0.0, now + TERM), None);
    book.record_want(7, 0.0, now, now);
    assert_eq!(book.lend(7, SHARE, 0.0, now), None);
}

/// Guards against a VM that lends because it counts its calls too late.
#[test]
fn a_higher_rate_counts_at_once() {
    let mut meter = Meter::default();
    for call in 0..20 {
        meter.record(Moment::from_millis(10_000 + call * 10));
    }
    assert!(meter.rate(Moment::from_millis(10_200)) >= 38.0);
    assert!(meter.rate(Moment::from_millis(20_000)) < 3.0);
}
