//! HTTP interface for operators: `/ready`, `/live`, `/metrics` and `/state`.

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use pimento_serve::ReplyBody;
use pimento_serve::Serve;
use pimento_units::id;
use pimento_wire::operators;
use pimento_wire::peer::Departure;
use serde::Serialize;

use crate::filter::reply;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// The HTTP service for operators.
#[derive(Debug, Clone)]
pub struct OperatorService(pub Arc<Node>);

/// Body of `/state`: the part that other programs read, and additional fields for people.
#[derive(Debug, Serialize)]
struct State {
    #[serde(flatten)]
    common: operators::State,
    peers: Vec<id::Node>,
    endpoints: Vec<Endpoint>,
    pools: Vec<Pool>,
    departures: Vec<Departure>,
    quarantined: Vec<id::Version>,
    #[serde(rename = "list_doubted")]
    list_distrusted: bool,
    bills_waiting: usize,
    bill_copies: usize,
    #[serde(rename = "kept_bytes")]
    answer_bytes: usize,
    wrong_checkpoints: u64,
}

#[derive(Debug, Serialize)]
struct Endpoint {
    name: id::Endpoint,
    pool: id::Pool,
    zone: id::Zone,
    usable: bool,
    versions: Vec<id::Version>,
}

#[derive(Debug, Serialize)]
struct Pool {
    name: id::Pool,
    waiting: usize,
    #[serde(rename = "flying")]
    in_flight: u32,
    slots: u32,
    usable: usize,
    ejected: usize,
}

impl Serve for OperatorService {
    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        if request.method() != Method::GET {
            let message = "only GET is allowed here";
            return Refusal::not_run(Code::WrongMethod, message).response();
        }
        match request.uri().path() {
            "/live" => text(StatusCode::OK, "live\n"),
            "/ready" if self.0.ready() => text(StatusCode::OK, "ready\n"),
            "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => metrics(&self.0),
            "/state" => reply::json(&state(&self.0)),
            _ => Refusal::not_run(Code::UnknownPath, "unknown path").response(),
        }
    }
}

fn text(status: StatusCode, text: &'static str) -> Response<ReplyBody> {
    reply::raw(status, "text/plain", text)
}

fn metrics(node: &Node) -> Response<ReplyBody> {
    let waiting = node.outbox.waiting();
    node.metrics.update_gauges(
        node.state.age(),
        waiting,
        node.answers.bytes(),
        &node.scheduler,
    );
    let state = node.state.current();
    let now = node.clock.wall();
    for contract in state.contracts() {
        let period = contract.spend.period(now).0;
        let holder = node.wallet.holder();
        let granted = node
            .wallet
            .follower()
            .view(|view| view.fold().granted(&contract.customer, period, holder));
        node.metrics.set_granted(&contract.customer, granted);
    }
    reply::raw(
        StatusCode::OK,
        pimento_metrics::CONTENT_TYPE,
        node.metrics.text(),
    )
}

fn state(node: &Node) -> State {
    let table = node.registry.table();
    let endpoints = table.endpoints().iter().map(|endpoint| Endpoint {
        name: endpoint.name.clone(),
        pool: endpoint.pool.clone(),
        zone: endpoint.zone.clone(),
        usable: table.is_usable(endpoint),
        versions: endpoint
            .load
            .as_ref()
            .map_or_else(Vec::new, |(load, _)| load.versions.clone()),
    });
    let peers = node.mesh.peers().into_iter();
    State {
        common: common(node),
        peers: peers.map(|peer| peer.node).collect(),
        endpoints: endpoints.collect(),
        pools: pools(node),
        departures: table.departures().to_vec(),
        quarantined: node.evidence.quarantined(),
        list_distrusted: table.distrusts_list(),
        bills_waiting: node.outbox.waiting(),
        bill_copies: node.outbox.copies(),
        answer_bytes: node.answers.bytes(),
        wrong_checkpoints: node.source().invalid_checkpoints(),
    }
}

fn common(node: &Node) -> operators::State {
    let age = node.state.age().as_millis();
    operators::State {
        node: node.config.node.clone(),
        zone: node.config.zone.clone(),
        ready: node.ready(),
        offset: node.state.current().offset,
        age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        evidence: node.evidence.report(),
    }
}

fn pools(node: &Node) -> Vec<Pool> {
    let pools = node.scheduler.pools().into_iter();
    let pool = |(name, pool): (id::Pool, pimento_scheduler::Pool)| {
        let metrics = pool.metrics();
        Pool {
            name,
            waiting: metrics.waiting,
            in_flight: metrics.in_flight,
            slots: metrics.slots,
            usable: metrics.usable,
            ejected: metrics.ejected,
        }
    };
    pools.map(pool).collect()
}
