//! The datagrams between entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_scheduler::RestReport;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::groups::Level;
use super::limit::LimitMessage;
use super::limit::RejectionMessage;
use super::loan::Loan;
use super::loan::Want;
use super::peer::ReaderStatus;
use super::speeds::SpeedMessage;
use crate::bundle::Bundle;
use crate::capacity::Capacity;
use crate::follow::Proof;
use crate::incarnation::Incarnation;
use crate::links;
use crate::poison::PartMessage;
use crate::poison::Report;
use crate::rollouts::announcement::NodeAnnouncement;
use crate::rollouts::announcement::PinnedSession;
use crate::rollouts::handover::Handover;

/// A datagram. It is written without names: the order and types of its fields are the format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub node: id::Node,
    /// The sender's zone.
    pub zone: id::Zone,
    /// When it was sent, by the sender's boot-time clock.
    pub stamp: Moment,
    /// Whether the sender can read the log.
    pub reader_status: ReaderStatus,
    /// The sender's part in its zone.
    pub position: Position,
    /// What the sender knows of the zones, if it is due.
    pub zones: Vec<ZoneSummary>,
    /// Records that changed the sender's views of the log. The receiver applies them before the proofs.
    pub bundles: Vec<Bundle>,
    /// What the sender's last reads of the log prove to the receiver.
    pub proofs: Proofs,
    /// Announcements about roll-outs that are due: the sender's own, and those that it passes on.
    pub rollouts: Vec<NodeAnnouncement>,
    /// Reports of requests that crash endpoints.
    pub poison: Vec<Report>,
    /// Sessions that stay on the old version during a roll-out's trial.
    pub pinned_sessions: Vec<PinnedSession>,
    /// The time that engines still need for the sender's prompts, in milliseconds by engine key. It is
    /// zero for engines that are not listed.
    pub waits: Vec<(u64, u32)>,
    /// Prompts that engines prefilled since the last datagram.
    pub prefills: Vec<Prefill>,
    /// Limits that endpoints named to the sender, and those that it passes on.
    pub limits: Vec<LimitMessage>,
}

/// What follows a [`Message`] in its datagram. VMs that run an older version ignore it, and send none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Extension {
    /// The sender's own links to endpoints; none from a VM that does not report them.
    pub links: Option<links::Report>,
    /// Numbers of requests that endpoints may turn away, sent like [`Message::limits`].
    pub max_rejections: Vec<RejectionMessage>,
    /// Endpoints that said not long ago that they leave.
    pub departures: Vec<Incarnation>,
    /// Endpoints that turned away what the sender sent them through the receiver.
    pub rests: Vec<RestMessage>,
}

/// What follows an [`Extension`] in its datagram, with the same rule for older versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Supplement {
    /// Reports of prompt parts that crash endpoints.
    pub poison_parts: Vec<PartMessage>,
    /// What the sender wants of what endpoints take from all VMs together.
    pub wants: Vec<Want>,
    /// What the sender lends to the receiver.
    pub loans: Vec<Loan>,
}

/// What follows a [`Supplement`] in its datagram, with the same rule for older versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurements {
    /// The sender's samples of engines' speeds since the last datagram.
    pub speeds: Vec<SpeedMessage>,
}

/// What follows [`Measurements`] in their datagram, with the same rule for older versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Absences {
    /// Endpoints whose addresses answered for others not long ago. Their avoidance is bounded in time and by the
    /// pool, unlike that of [`Extension::departures`].
    pub misdirected: Vec<AbsenceMessage>,
}

/// What follows [`Absences`] in their datagram, with the same rule for older versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Handovers {
    /// Sessions' versions, and room within the bound on requests, of roll-outs that are under way.
    pub rollouts: Vec<Handover>,
}

/// An endpoint whose address answered for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbsenceMessage {
    /// The endpoint.
    pub absence: Incarnation,
    /// Milliseconds since that response.
    pub age_ms: u32,
}

impl From<(Incarnation, Duration)> for AbsenceMessage {
    fn from((absence, age): (Incarnation, Duration)) -> Self {
        Self {
            absence,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// What all versions send.
    pub message: Message,
    /// What versions with extensions send.
    pub extension: Extension,
    /// What versions with supplements send.
    pub supplement: Supplement,
    /// What versions with measurements send.
    pub measurements: Measurements,
    /// What versions with absences send.
    pub absences: Absences,
    /// What versions with handovers send.
    pub handovers: Handovers,
}

/// An endpoint that wants no requests for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestMessage {
    endpoint: u64,
    incarnation: u64,
    remaining_ms: u32,
}

impl From<RestReport> for RestMessage {
    fn from(report: RestReport) -> Self {
        Self {
            endpoint: report.endpoint,
            incarnation: report.incarnation,
            remaining_ms: u32::try_from(report.remaining.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<RestMessage> for RestReport {
    fn from(message: RestMessage) -> Self {
        Self {
            endpoint: message.endpoint,
            incarnation: message.incarnation,
            remaining: Duration::from_millis(u64::from(message.remaining_ms)),
        }
    }
}

/// The part of a VM in its zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// How finely the zone is divided into groups.
    pub level: Level,
    /// What the VM can do for others.
    pub capacity: Capacity,
    /// Whether the VM has views of all topics, however old.
    pub has_views: bool,
    /// The leader of the VM's group and where it receives datagrams; none if the VM leads its group.
    pub leader: Option<(id::Node, SocketAddr)>,
    /// The number of VMs of the zone, including the sender, as far as they are known.
    pub vms: u32,
}

/// What VMs know of a zone other than their own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: id::Zone,
    /// The number of its VMs.
    pub vms: u32,
    /// Some of its VMs, and where they receive datagrams.
    pub contacts: Vec<(id::Node, SocketAddr)>,
}

/// Proofs of the topics that all VMs read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proofs {
    /// Of the operators' records.
    pub operators: Option<Proof>,
    /// Of the endpoints' records.
    pub endpoints: Option<Proof>,
    /// Of the blocked requests.
    pub poison: Option<Proof>,
}

/// A prompt that an engine prefilled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// The engine's key.
    pub engine: u64,
    /// Hash of the model.
    pub model: u64,
    /// The hash and the number of tokens of each part.
    pub parts: Vec<(u64, u32)>,
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// If it can't be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(&self.message)?;
        let bytes = postcard::to_extend(&self.extension, bytes)?;
        let bytes = postcard::to_extend(&self.supplement, bytes)?;
        let bytes = postcard::to_extend(&self.measurements, bytes)?;
        let bytes = postcard::to_extend(&self.absences, bytes)?;
        postcard::to_extend(&self.handovers, bytes)
    }

    /// Decodes a datagram. What the sender's version does not send is empty.
    ///
    /// # Errors
    ///
    /// If it can't be decoded.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (message, rest) = postcard::take_from_bytes(bytes)?;
        let (extension, rest) = take_if_any(rest)?;
        let (supplement, rest) = take_if_any(rest)?;
        let (measurements, rest) = take_if_any(rest)?;
        let (absences, rest) = take_if_any(rest)?;
        let (handovers, _) = take_if_any(rest)?;
        Ok(Self {
            message,
            extension,
            supplement,
            measurements,
            absences,
            handovers,
        })
    }
}

/// Decodes a value unless no bytes are left.
fn take_if_any<T: Default + DeserializeOwned>(bytes: &[u8]) -> postcard::Result<(T, &[u8])> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

impl Prefill {
    /// A prompt that was sent to an engine.
    #[must_use]
    pub fn new((engine, prompt): &(u64, Prompt)) -> Self {
        let tokens = |part: &Part| u32::try_from(part.tokens.0).unwrap_or(u32::MAX);
        let parts = prompt.parts.iter().map(|part| (part.hash, tokens(part)));
        Self {
            engine: *engine,
            model: prompt.model,
            parts: parts.collect(),
        }
    }

    /// The same without the last part, which belongs to the one request; none if no part is left.
    #[must_use]
    pub fn shared_prefix(sent: &(u64, Prompt)) -> Option<Self> {
        let mut prefill = Self::new(sent);
        prefill.parts.pop();
        (!prefill.parts.is_empty()).then_some(prefill)
    }

    /// The prompt.
    #[must_use]
    pub fn prompt(&self) -> Prompt {
        let parts = self.parts.iter().map(|(hash, tokens)| Part {
            hash: *hash,
            tokens: Tokens(u64::from(*tokens)),
        });
        Prompt {
            model: self.model,
            parts: parts.collect(),
        }
    }
}
