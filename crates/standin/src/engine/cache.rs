//! The prefix cache, whose changes are published late and with gaps.

use std::time::Duration;
use std::time::Instant;

use pimento_units::share::PARTS;
use pimento_wire::api::Message;
use pimento_wire::engine;
use pimento_wire::engine::Event;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::settings::Settings;
use crate::text;

/// Events kept for readers that come late.
const KEPT: usize = 4_096;

/// The prefix cache.
#[derive(Debug, Default)]
pub struct Cache {
    /// Prefixes, least recently used first.
    held: Vec<u64>,
    events: Vec<(Instant, Event)>,
    sequence: u64,
}

/// Hash of the part of a conversation that comes again: all messages before the last one.
#[must_use]
pub fn prefix(messages: &[Message]) -> Option<u64> {
    let (_, before) = messages.split_last()?;
    if before.is_empty() {
        return None;
    }
    let texts: Vec<&str> = before.iter().map(|m| m.content.as_str()).collect();
    Some(xxh3_64(texts.join("\n").as_bytes()))
}

/// Prompt tokens of the prefix and of all messages.
#[must_use]
pub fn sizes(messages: &[Message]) -> (u64, u64) {
    let size = |messages: &[Message]| messages.iter().map(|m| text::tokens(&m.content)).sum();
    let before = messages.split_last().map_or(&[][..], |(_, before)| before);
    (size(before), size(messages))
}

impl Cache {
    /// Uses a prefix: whether it was held; it is held afterwards.
    pub fn touch(&mut self, prefix: u64, settings: &Settings, now: Instant) -> bool {
        let place = self.held.iter().position(|held| *held == prefix);
        if let Some(place) = place {
            self.held.remove(place);
            self.held.push(prefix);
            return true;
        }
        while !self.held.is_empty() && self.held.len() >= settings.cache {
            let evicted = self.held.remove(0);
            self.note(evicted, false, settings, now);
        }
        if settings.cache > 0 {
            self.held.push(prefix);
            self.note(prefix, true, settings, now);
        }
        false
    }

    fn note(&mut self, prefix: u64, added: bool, settings: &Settings, now: Instant) {
        self.sequence += 1;
        let draw = xxh3_64_with_seed(&self.sequence.to_le_bytes(), settings.seed);
        if draw % u64::from(PARTS) < u64::from(settings.cache_gaps.parts()) {
            return;
        }
        if self.events.len() == KEPT {
            self.events.remove(0);
        }
        let event = Event {
            sequence: self.sequence,
            prefix,
            added,
        };
        self.events.push((now, event));
    }

    /// Events after `after` that are old enough to be published.
    #[must_use]
    pub fn published(&self, after: u64, settings: &Settings, now: Instant) -> engine::Cache {
        let lag = Duration::from_millis(settings.cache_lag_ms);
        let out = |(at, event): &&(Instant, Event)| {
            event.sequence > after && now.saturating_duration_since(*at) >= lag
        };
        let events: Vec<Event> = self
            .events
            .iter()
            .filter(out)
            .map(|(_, event)| event.clone())
            .collect();
        engine::Cache {
            sequence: events.last().map_or(after, |event| event.sequence),
            events,
        }
    }
}
