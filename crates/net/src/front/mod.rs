//! The fronts: how clients hand in transactions and get their answers. All meet the same core.

pub mod admission;
pub mod gearman;
pub mod http;

use pumiceway_core::{Answer, Event, News, Overview, Ticket, Transaction};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// What the shell hears from fronts and from what it has set going.
#[derive(Debug)]
pub enum Heard {
    /// Something for the core.
    Event(Event),
    /// A client waits for an answer, and perhaps for news.
    Waiting {
        /// The client.
        ticket: Ticket,
        /// What it has handed in.
        transaction: Transaction,
        /// Where the answer goes.
        answer: oneshot::Sender<Answer>,
        /// Where news goes.
        news: Option<mpsc::UnboundedSender<News>>,
    },
    /// Somebody wants to know how things stand.
    Asked(oneshot::Sender<Overview>),
}

/// The way from the fronts into the core.
#[derive(Clone, Debug)]
pub struct Gate {
    heard: mpsc::UnboundedSender<Heard>,
    tickets: Arc<AtomicU64>,
}

impl Gate {
    /// A gate, and where what passes it comes out.
    pub fn new() -> (Gate, mpsc::UnboundedReceiver<Heard>) {
        let (heard, out) = mpsc::unbounded_channel();
        (Gate { heard, tickets: Arc::default() }, out)
    }

    /// Tells the core.
    pub fn tell(&self, event: Event) {
        let _ = self.heard.send(Heard::Event(event));
    }

    /// How things stand.
    pub async fn overview(&self) -> Overview {
        let (answer, answered) = oneshot::channel();
        let _ = self.heard.send(Heard::Asked(answer));
        answered.await.unwrap_or_default()
    }

    /// Hands a transaction in.
    pub fn submit(&self, transaction: Transaction, news: Option<mpsc::UnboundedSender<News>>) -> Waiting {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (answer, answered) = oneshot::channel();
        let _ = self.heard.send(Heard::Waiting { ticket, transaction, answer, news });
        Waiting { gate: self.clone(), ticket, answered, over: false }
    }
}

/// A client that waits. Dropped without its answer, it has left.
pub struct Waiting {
    gate: Gate,
    ticket: Ticket,
    answered: oneshot::Receiver<Answer>,
    over: bool,
}

impl Waiting {
    /// What the core knows the client by.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// The final answer.
    pub async fn answer(mut self) -> Answer {
        let answer = (&mut self.answered).await;
        self.over = true;
        answer.unwrap_or(Answer::Failed("the dispatcher is ending"))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.over {
            self.gate.tell(Event::Left { ticket: self.ticket });
        }
    }
}
