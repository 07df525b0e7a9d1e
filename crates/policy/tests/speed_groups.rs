//! VMs in groups that tell each other how fast engines were, by datagrams that are delayed and lost.

use std::time::Duration;

use pimento_policy::engine::Candidate;
use pimento_policy::engine::Config;
use pimento_policy::engine::Engine;
use pimento_policy::engine::Part;
use pimento_policy::engine::PrefillEstimator;
use pimento_policy::engine::Prompt;
use pimento_policy::engine::choose;
use pimento_policy::speed::Estimate;
use pimento_policy::speed::Pace;
use pimento_policy::speed::Speed;
use pimento_policy::speed::Sum;
use pimento_units::Moment;
use pimento_units::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MODEL: u64 = 7;
const PER_TOKEN: Duration = Duration::from_micros(20);
const START: Duration = Duration::from_millis(8);

/// Prompts of a VM per second, and the tokens of a prompt.
const PROMPTS_PER_SECOND: f64 = 4.0;
const TOKENS: [u64; 3] = [1_500, 4_000, 8_000];

const STEP: Duration = Duration::from_millis(10);
const MAX_DELAY: Duration = Duration::from_millis(100);
const LONG_DELAY: Duration = Duration::from_secs(3);
const LOSS_RATE: f64 = 0.1;

/// The largest group, the time between datagrams for each other VM of it, and the longest.
const MAX_GROUP: usize = 48;
const INTERVAL_PER_VM: Duration = Duration::from_millis(20);
const MAX_INTERVAL: Duration = Duration::from_millis(600);

/// Bytes of an engine's samples in a datagram, at most.
const SPEED_BYTES: f64 = 17.0;

const UPDATE_STEPS: u32 = 100;

/// What one VM knows.
struct Vm {
    engines: Vec<Engine>,
    prefill: PrefillEstimator,
    speeds: Vec<Speed>,
    unsent: Vec<(usize, Sum)>,
    pace: Pace,
}

impl Vm {
    fn new(engines: usize) -> Self {
        Self {
            engines: vec![Engine::new(Tokens(20_000)); engines],
            prefill: PrefillEstimator::default(),
            speeds: vec![Speed::default(); engines],
            unsent: Vec::new(),
            pace: Pace::default(),
        }
    }

    fn candidates(&self, tokens: Tokens, now: Moment) -> Vec<Candidate> {
        let prefill_time = self.prefill.prefill_time(MODEL, tokens, tokens);
        let candidate = |(name, engine): (u64, &Engine)| Candidate {
            name_hash: name,
            usable: true,
            remote: false,
            full: false,
            wait: engine.wait(now),
            prefill_time: prefill_time.mul_f64(engine.factor()),
        };
        (0..).zip(&self.engines).map(candidate).collect()
    }

    fn record_first_token(&mut self, call: u64, engine: usize, now: Moment) {
        let timing = self.engines[engine].record_first_token(call, &mut self.prefill, now);
        let Some(sample) = timing.and_then(Sum::sample) else {
            return;
        };
        self.speeds[engine].record(sample, now);
        match self.unsent.iter_mut().find(|(key, _)| *key == engine) {
            Some((_, sum)) => sum.merge(sample),
            None => self.unsent.push((engine, sample)),
        }
    }

    fn update(&mut self, now: Moment) {
        let estimates = self.speeds.iter().map(|speed| speed.estimate(now));
        let estimates: Vec<Option<Estimate>> = estimates.collect();
        let known: Vec<Estimate> = estimates.iter().copied().flatten().collect();
        self.pace.update(&known);
        for (engine, estimate) in self.engines.iter_mut().zip(estimates) {
            engine.set_factor(self.pace.factor(estimate));
        }
    }
}

struct Datagram {
    due: Moment,
    from: usize,
    to: usize,
    waits: Vec<(usize, Duration)>,
    speeds: Vec<(usize, Sum)>,
}

/// What came out in the second half of the time.
#[derive(Debug, Default)]
struct Outcome {
    prompts: f64,
    to_slow: f64,
    /// Times to first tokens, sorted.
    times: Vec<Duration>,
    speeds_sent: u32,
    /// VMs that know at the end that the engines differ, and the largest number at any time.
    uneven: usize,
    most_uneven: usize,
}

impl Outcome {
    fn slow_share(&self) -> f64 {
        self.to_slow / self.prompts
    }

    fn mean(&self) -> Duration {
        let sum: Duration = self.times.iter().sum();
        sum.div_f64(self.prompts)
    }

    fn late(&self) -> Duration {
        self.times[self.times.len() * 9 / 10]
    }
}

/// A zone of VMs and engines.
struct Zone {
    vms: Vec<Vm>,
    groups: usize,
    /// The factor by which each engine takes longer, and when it will have prefilled its prompts.
    engines: Vec<(f64, Moment)>,
    /// First tokens that are due: when, at which VM, from which engine, by which call and when that was sent.
    tokens: Vec<(Moment, usize, usize, u64, Moment)>,
    datagrams: Vec<Datagram>,
    calls: u64,
    random: StdRng,
}

impl Zone {
    fn new(vms: usize, engines: usize, factors: [f64; 3], seed: u64) -> Self {
        let factors = factors.into_iter().cycle().take(engines);
        Self {
            vms: (0..vms).map(|_| Vm::new(engines)).collect(),
            groups: vms.div_ceil(MAX_GROUP),
            engines: factors.map(|factor| (factor, Moment::ZERO)).collect(),
            tokens: Vec::new(),
            datagrams: Vec::new(),
            calls: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn group(&self, vm: usize) -> impl Iterator<Item = usize> + use<> {
        let groups = self.groups;
        (vm % groups..self.vms.len())
            .step_by(groups)
            .filter(move |other| *other != vm)
    }

    /// Sends a prompt of the VM. Returns the chosen engine.
    fn send_prompt(&mut self, vm: usize, now: Moment) -> usize {
        let tokens = Tokens(TOKENS[self.random.random_range(0..TOKENS.len())]);
        self.calls += 1;
        let call = self.calls;
        let part = Part { hash: call, tokens };
        let prompt = Prompt {
            model: MODEL,
            parts: vec![part],
        };
        let candidates = self.vms[vm].candidates(tokens, now);
        let engine = choose(&candidates, call, &Config::default()).unwrap();
        let expected = candidates[engine].prefill_time;
        self.vms[vm].engines[engine].record_sent(call, &prompt, expected, now);
        let (factor, free_at) = &mut self.engines[engine];
        // Each engine pauses for 600 ms of 4 s, one after the other.
        let shifted = now.nanos() / 1_000_000 + engine as u64 * 1_733;
        let pause = if shifted % 4_000 < 600 { 2.5 } else { 1.0 };
        let plain = START + PER_TOKEN * u32::try_from(tokens.0).unwrap();
        let took = plain.mul_f64(*factor * pause * self.random.random_range(0.95..1.05));
        *free_at = (*free_at).max(now) + took;
        self.tokens.push((*free_at, vm, engine, call, now));
        engine
    }

    fn broadcast(&mut self, vm: usize, now: Moment) -> u32 {
        let speeds = std::mem::take(&mut self.vms[vm].unsent);
        let engines = self.vms[vm].engines.iter().enumerate();
        let waits = engines.map(|(key, engine)| (key, engine.own_wait(now)));
        let waits: Vec<_> = waits.filter(|(_, wait)| !wait.is_zero()).collect();
        for to in self.group(vm) {
            if !self.random.random_bool(LOSS_RATE) {
                let long = self.random.random_bool(0.02);
                let most = if long { LONG_DELAY } else { MAX_DELAY };
                let delay = self.random.random_range(Duration::ZERO..most);
                self.datagrams.push(Datagram {
                    due: now + delay,
                    from: vm,
                    to,
                    waits: waits.clone(),
                    speeds: speeds.clone(),
                });
            }
        }
        u32::try_from(speeds.len()).unwrap()
    }

    fn receive(&mut self, now: Moment) {
        for datagram in self.datagrams.extract_if(.., |d| d.due <= now) {
            let vm = &mut self.vms[datagram.to];
            for (engine, wait) in datagram.waits {
                vm.engines[engine].record_peer_wait(datagram.from as u64, wait, now);
            }
            for (engine, sum) in datagram.speeds {
                vm.speeds[engine].record(sum, now);
            }
        }
    }

    /// Plays some seconds; without `learn` all factors stay 1.
    fn play(&mut self, seconds: u32, learn: bool) -> Outcome {
        let mut outcome = Outcome::default();
        let steps = seconds * 100;
        let others = u32::try_from(self.group(0).count()).unwrap();
        let interval = (INTERVAL_PER_VM * others).min(MAX_INTERVAL);
        let interval = u32::try_from(interval.as_millis() / STEP.as_millis()).unwrap();
        for step in 0..steps {
            let now = Moment::ZERO + Duration::from_secs(10) + STEP * step;
            let counts = step >= steps / 2;
            for (_, vm, engine, call, sent) in self
                .tokens
                .extract_if(.., |(at, ..)| *at <= now)
                .collect::<Vec<_>>()
            {
                self.vms[vm].record_first_token(call, engine, now);
                if counts {
                    outcome.times.push(now.since(sent));
                }
            }
            self.receive(now);
            for vm in 0..self.vms.len() {
                let turn = step + u32::try_from(vm).unwrap();
                if turn.is_multiple_of(interval) {
                    outcome.speeds_sent += self.broadcast(vm, now);
                }
                if learn && turn.is_multiple_of(UPDATE_STEPS) {
                    self.vms[vm].update(now);
                }
                if self
                    .random
                    .random_bool(PROMPTS_PER_SECOND * STEP.as_secs_f64())
                {
                    let engine = self.send_prompt(vm, now);
                    if counts {
                        outcome.prompts += 1.0;
                        outcome.to_slow += f64::from(u8::from(engine % 3 == 2));
                    }
                }
            }
            outcome.uneven = self.vms.iter().filter(|vm| vm.pace.is_uneven()).count();
            outcome.most_uneven = outcome.most_uneven.max(outcome.uneven);
        }
        outcome.times.sort_unstable();
        outcome
    }
}

/// Guards against samples that are too few, lost or late, so that VMs don't learn which engines are slow.
#[test]
fn vms_learn_together_which_engines_are_slow() {
    for (vms, engines, seconds) in [(9, 9, 60), (82, 90, 40), (300, 300, 32)] {
        let play = |learn| Zone::new(vms, engines, [0.7, 0.7, 1.7], 1).play(seconds, learn);
        let (before, after) = (play(false), play(true));
        // Of 300 VMs a group or two has too few samples after half a minute.
        let vm_seconds = f64::from(seconds) * f64::from(u32::try_from(vms).unwrap());
        let entries = f64::from(after.speeds_sent) / vm_seconds;
        println!(
            "{vms} VMs: slow engines get {:.3} of the prompts instead of {:.3}; first tokens after {:?} instead of {:?} \
             (mean), {:?} instead of {:?} (90th percentile); a VM tells {entries:.1} engines a second, {:.0} bytes to \
             each VM of its group; {} VMs know",
            after.slow_share(),
            before.slow_share(),
            after.mean(),
            before.mean(),
            after.late(),
            before.late(),
            entries * SPEED_BYTES,
            after.uneven
        );
        assert!(after.uneven * 2 >= vms, "{} of {vms}", after.uneven);
        assert!(after.slow_share() < before.slow_share() * 0.8, "{vms} VMs");
        assert!(after.mean() < before.mean(), "{vms} VMs");
        assert!(entries < PROMPTS_PER_SECOND * 1.5);
    }
}

/// Guards against VMs that take the noise of a pool of equal engines for their speed.
#[test]
fn vms_with_equal_engines_treat_them_alike() {
    for (vms, engines, seconds) in [(9, 9, 120), (82, 90, 40)] {
        for seed in 0..2 {
            let outcome = Zone::new(vms, engines, [1.0; 3], seed).play(seconds, true);
            assert_eq!(outcome.most_uneven, 0, "{vms} VMs, seed {seed}");
        }
    }
}
