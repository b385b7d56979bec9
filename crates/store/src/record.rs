//! What is recorded.

use serde::{Deserialize, Serialize};

/// A transaction as it was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// What its client calls it by.
    pub identity: String,
    /// Name of its class.
    pub class: String,
    /// When it was taken, in Unix microseconds.
    pub at: u64,
    /// How long its client would wait from then on, in microseconds.
    pub left: u64,
    /// Slots that it takes.
    pub slots: f64,
    /// Memory that it takes.
    pub memory: f64,
    /// The id under which it is passed on.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Body. Let go of with the answer.
    pub body: Vec<u8>,
}

/// How a transaction stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Taken, and provably with no next hop.
    Waiting,
    /// It may have reached a next hop.
    Out,
    /// It has its one final answer.
    Over(Ended),
}

/// The end of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// When, in Unix microseconds.
    pub at: u64,
    /// Its answer.
    pub kept: Kept,
    /// It may have run, must not run again, and nobody has looked yet whether it did.
    pub unsettled: bool,
}

/// An answer that is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kept {
    /// What a next hop made of it.
    Served(Vec<u8>),
    /// Failed, and why.
    Failed(String),
}

/// One change to the record. Writing it again changes nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Taken on.
    Taken(u64, Taken),
    /// A branch is about to go out.
    Out(u64),
    /// No branch is out, and none has run.
    Back(u64),
    /// It has its answer.
    Over(u64, Ended),
    /// Somebody has looked whether it ran.
    Settled(u64),
    /// It is forgotten.
    Forget(u64),
}

/// A record as it was found at the start. The body of one that is over is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Loaded {
    /// Its number; grows with each one taken.
    pub record: u64,
    /// What was taken.
    pub taken: Taken,
    /// How it stands.
    pub state: State,
}
