//! The packets of the Gearman protocol, and their type numbers.

use bytes::Bytes;

/// A packet that either side sends.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)] // the Gearman protocol documents every packet
pub enum Packet {
    CanDo {
        function: String,
    },
    CantDo {
        function: String,
    },
    ResetAbilities,
    PreSleep,
    Noop,
    SubmitJob {
        background: bool,
        function: String,
        unique_id: String,
        workload: Bytes,
    },
    JobCreated {
        handle: String,
    },
    GrabJob {
        with_unique: bool,
    },
    NoJob,
    JobAssign {
        handle: String,
        function: String,
        unique_id: Option<String>,
        workload: Bytes,
    },
    WorkStatus {
        handle: String,
        numerator: u64,
        denominator: u64,
    },
    WorkComplete {
        handle: String,
        data: Bytes,
    },
    WorkFail {
        handle: String,
    },
    WorkException {
        handle: String,
        data: Bytes,
    },
    WorkData {
        handle: String,
        data: Bytes,
    },
    WorkWarning {
        handle: String,
        data: Bytes,
    },
    GetStatus {
        handle: String,
    },
    StatusRes {
        handle: String,
        known: bool,
        running: bool,
        numerator: u64,
        denominator: u64,
    },
    EchoReq {
        data: Bytes,
    },
    EchoRes {
        data: Bytes,
    },
    Error {
        code: &'static str,
        text: String,
    },
    SetClientId {
        id: String,
    },
    AllYours,
    OptionReq {
        option: String,
    },
    OptionRes {
        option: String,
    },
}

impl Packet {
    /// Length of the data of the packet, beside which it holds only short texts.
    pub fn data_bytes(&self) -> usize {
        match self {
            Packet::SubmitJob { workload, .. } | Packet::JobAssign { workload, .. } => {
                workload.len()
            }
            Packet::WorkComplete { data, .. }
            | Packet::WorkException { data, .. }
            | Packet::WorkData { data, .. }
            | Packet::WorkWarning { data, .. }
            | Packet::EchoReq { data }
            | Packet::EchoRes { data } => data.len(),
            _ => 0,
        }
    }
}

/// The packet types, under their names in the protocol.
pub(super) mod types {
    pub const CAN_DO: u32 = 1;
    pub const CANT_DO: u32 = 2;
    pub const RESET_ABILITIES: u32 = 3;
    pub const PRE_SLEEP: u32 = 4;
    pub const NOOP: u32 = 6;
    pub const SUBMIT_JOB: u32 = 7;
    pub const JOB_CREATED: u32 = 8;
    pub const GRAB_JOB: u32 = 9;
    pub const NO_JOB: u32 = 10;
    pub const JOB_ASSIGN: u32 = 11;
    pub const WORK_STATUS: u32 = 12;
    pub const WORK_COMPLETE: u32 = 13;
    pub const WORK_FAIL: u32 = 14;
    pub const GET_STATUS: u32 = 15;
    pub const ECHO_REQ: u32 = 16;
    pub const ECHO_RES: u32 = 17;
    pub const SUBMIT_JOB_BG: u32 = 18;
    pub const ERROR: u32 = 19;
    pub const STATUS_RES: u32 = 20;
    pub const SUBMIT_JOB_HIGH: u32 = 21;
    pub const SET_CLIENT_ID: u32 = 22;
    pub const CAN_DO_TIMEOUT: u32 = 23;
    pub const ALL_YOURS: u32 = 24;
    pub const WORK_EXCEPTION: u32 = 25;
    pub const OPTION_REQ: u32 = 26;
    pub const OPTION_RES: u32 = 27;
    pub const WORK_DATA: u32 = 28;
    pub const WORK_WARNING: u32 = 29;
    pub const GRAB_JOB_UNIQ: u32 = 30;
    pub const JOB_ASSIGN_UNIQ: u32 = 31;
    pub const SUBMIT_JOB_HIGH_BG: u32 = 32;
    pub const SUBMIT_JOB_LOW: u32 = 33;
    pub const SUBMIT_JOB_LOW_BG: u32 = 34;
}
