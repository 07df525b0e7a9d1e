//! The prefix cache. Its changes are published with a delay and with gaps.

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

/// Number of events retained for readers that are behind.
const MAX_EVENTS: usize = 4_096;

/// The prefix cache.
#[derive(Debug, Default)]
pub struct Cache {
    /// Hashes of cached prefixes, least recently used first.
    cached: Vec<u64>,
    events: Vec<(Instant, Event)>,
    sequence: u64,
}

/// The hash of a conversation's prefix, which is all messages before the last one.
#[must_use]
pub fn prefix(messages: &[Message]) -> Option<u64> {
    let (_, before) = messages.split_last()?;
    if before.is_empty() {
        return None;
    }
    let texts: Vec<&str> = before.iter().map(|m| m.content.as_str()).collect();
    Some(xxh3_64(texts.join("\n").as_bytes()))
}

/// Tokens in the prefix and in all messages.
#[must_use]
pub fn sizes(messages: &[Message]) -> (u64, u64) {
    let size = |messages: &[Message]| messages.iter().map(|m| text::tokens(&m.content)).sum();
    let before = messages.split_last().map_or(&[][..], |(_, before)| before);
    (size(before), size(messages))
}

impl Cache {
    /// Looks up a prefix and marks it as used. Returns whether it was cached; if it was not, it is
    /// inserted unless the capacity is 0.
    pub fn touch(&mut self, prefix: u64, settings: &Settings, now: Instant) -> bool {
        let index = self.cached.iter().position(|cached| *cached == prefix);
        if let Some(index) = index {
            self.cached.remove(index);
            self.cached.push(prefix);
            return true;
        }
        while !self.cached.is_empty() && self.cached.len() >= settings.cache {
            let evicted = self.cached.remove(0);
            self.record_event(evicted, false, settings, now);
        }
        if settings.cache > 0 {
            self.cached.push(prefix);
            self.record_event(prefix, true, settings, now);
        }
        false
    }

    fn record_event(&mut self, prefix: u64, added: bool, settings: &Settings, now: Instant) {
        self.sequence += 1;
        let draw = xxh3_64_with_seed(&self.sequence.to_le_bytes(), settings.seed);
        if draw % u64::from(PARTS) < u64::from(settings.cache_gaps.parts()) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.remove(0);
        }
        let event = Event {
            sequence: self.sequence,
            prefix,
            added,
        };
        self.events.push((now, event));
    }

    /// The events after sequence number `after` that are old enough to be published.
    #[must_use]
    pub fn published(&self, after: u64, settings: &Settings, now: Instant) -> engine::CacheChanges {
        let lag = Duration::from_millis(settings.cache_lag_ms);
        let visible = |(at, event): &&(Instant, Event)| {
            event.sequence > after && now.saturating_duration_since(*at) >= lag
        };
        let events: Vec<Event> = self
            .events
            .iter()
            .filter(visible)
            .map(|(_, event)| event.clone())
            .collect();
        engine::CacheChanges {
            sequence: events.last().map_or(after, |event| event.sequence),
            events,
        }
    }
}
