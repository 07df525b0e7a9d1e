//! All orders of a server's signals, the bytes of one request and its answer.

use tokio::runtime::Builder;
use tokio::task::JoinSet;

use crate::support::Answer;
use crate::support::BRIEF;
use crate::support::Caller;
use crate::support::Server;
use crate::support::catch_up;
use crate::support::get;
use crate::support::post;

/// Cases that are played at a time.
const CONCURRENT: usize = 128;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Leave,
    Close,
    Abort,
    /// The first part of the request is sent.
    Part,
    /// The rest of the request is sent.
    Rest,
    /// The answer is there.
    Release,
}

#[derive(Debug, Clone, Copy)]
enum Start {
    /// One request has been answered on the connection.
    Kept,
    /// The connection is new.
    New,
    /// The caller connects when it sends the first part.
    Unconnected,
}

#[derive(Debug, Clone, Copy)]
enum Split {
    Head,
    Body,
}

#[derive(Debug, Clone)]
struct Case {
    order: Vec<Event>,
    start: Start,
    split: Split,
    /// Whether the server does nothing before all events are over.
    behind: bool,
}

impl Case {
    fn all() -> Vec<Self> {
        let mut cases = Vec::new();
        for order in orders() {
            for start in [Start::Kept, Start::New, Start::Unconnected] {
                for split in [Split::Head, Split::Body] {
                    cases.extend([false, true].map(|behind| Self {
                        order: order.clone(),
                        start,
                        split,
                        behind,
                    }));
                }
            }
        }
        cases
    }

    fn request(&self) -> (String, String) {
        match self.split {
            Split::Head => {
                let request = get("/brief");
                let (part, rest) = request.split_at(request.len() / 2);
                (part.to_owned(), rest.to_owned())
            }
            Split::Body => (post("/brief", 10), "0123456789".to_owned()),
        }
    }

    fn at(&self, event: Event) -> usize {
        let place = self.order.iter().position(|other| *other == event);
        place.unwrap_or(usize::MAX)
    }

    /// The place of the event by which the answer to a request that was sent before closing is there,
    /// unless an abort, which takes effect only after closing, comes first.
    fn answered_at(&self) -> Option<usize> {
        let sent = self.at(Event::Rest);
        let closed = self.at(Event::Close);
        let answered = self.at(Event::Release).max(sent);
        (sent < closed && answered < self.at(Event::Abort).max(closed)).then_some(answered)
    }

    /// Whether the request must be answered in full.
    fn is_owed(&self) -> bool {
        let aborted = self.at(Event::Abort) != usize::MAX;
        self.answered_at().is_some() && !(self.behind && aborted)
    }

    async fn play(&self) {
        let server = Server::start().await;
        let mut caller = match self.start {
            Start::Kept => Some(Caller::connect(server.address).unwrap().keep().await),
            Start::New => Some(Caller::connect(server.address).unwrap()),
            Start::Unconnected => None,
        };
        catch_up().await;
        let (part, rest) = self.request();
        for (place, event) in self.order.iter().enumerate() {
            match event {
                Event::Leave => server.stop.leaving.cancel(),
                Event::Close => server.stop.closing.cancel(),
                Event::Abort => server.stop.abort.cancel(),
                Event::Release => server.script.release.cancel(),
                Event::Part => {
                    caller = caller.or_else(|| Caller::connect(server.address).ok());
                    send(caller.as_mut(), &part);
                }
                Event::Rest => send(caller.as_mut(), &rest),
            }
            if !self.behind {
                catch_up().await;
                if let Some(caller) = caller
                    .as_ref()
                    .filter(|_| self.answered_at() == Some(place))
                {
                    caller.answered().await;
                }
            }
        }
        // The caller keeps its end open until the server has stopped.
        let (_caller, answer) = match caller {
            Some(caller) => {
                let (caller, answer) = caller.answer_and_connection().await;
                (Some(caller), answer)
            }
            None => (None, Answer::default()),
        };
        server.stopped().await;
        self.check(&answer);
    }

    fn check(&self, answer: &Answer) {
        let whole = answer.status == Some(200) && answer.body == BRIEF;
        assert!(whole || !self.is_owed(), "{self:?}: {answer:?}");
        assert!(answer.body <= BRIEF, "answered twice: {self:?}: {answer:?}");
        let announced = self.at(Event::Leave).min(self.at(Event::Close)) < self.at(Event::Release);
        assert!(
            answer.close || !(whole && announced),
            "{self:?}: {answer:?}"
        );
    }
}

/// Sends what can still be sent.
fn send(caller: Option<&mut Caller>, bytes: &str) {
    if let Some(caller) = caller {
        caller.write(bytes);
    }
}

/// All orders in which a request's first part comes before its rest: of all events, without an abort,
/// and without an answer, which only an abort can end.
fn orders() -> Vec<Vec<Event>> {
    let steps = [Event::Leave, Event::Close, Event::Part, Event::Rest];
    let ends: [&[Event]; 3] = [
        &[Event::Release, Event::Abort],
        &[Event::Release],
        &[Event::Abort],
    ];
    ends.into_iter()
        .flat_map(|end| permutations(&[&steps, end].concat()))
        .filter(|order| {
            let at = |event| order.iter().position(|other| *other == event);
            at(Event::Part) < at(Event::Rest)
        })
        .collect()
}

fn permutations(events: &[Event]) -> Vec<Vec<Event>> {
    let Some((first, rest)) = events.split_first() else {
        return vec![Vec::new()];
    };
    let shorter = permutations(rest);
    let insert = |order: &Vec<Event>, place| {
        let mut longer = order.clone();
        longer.insert(place, *first);
        longer
    };
    shorter
        .iter()
        .flat_map(|order| (0..=order.len()).map(|place| insert(order, place)))
        .collect()
}

/// Guards against a request that is lost, cut or answered twice in some order of a shutdown's events.
#[test]
fn requests_sent_before_closing_are_answered_in_all_orders() {
    let cases = Case::all();
    assert_eq!(cases.len(), (360 + 60 + 60) * 12);
    // The kernel is polled only when all tasks wait: a server that is behind learns of nothing before.
    let runtime = Builder::new_current_thread()
        .event_interval(u32::MAX)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        for cases in cases.chunks(CONCURRENT) {
            let mut playing = JoinSet::new();
            for case in cases {
                let case = case.clone();
                playing.spawn(async move { case.play().await });
            }
            playing.join_all().await;
        }
    });
}
