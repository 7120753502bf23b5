//! Codes of the records of the simulator's protocol, with the names that its specification uses.

/// Codes of events.
pub(crate) mod event {
    /// `AttemptEnd`: an attempt has ended.
    pub const ATTEMPT_END: u16 = 1;
    /// `StatusBack`: a health check has ended.
    pub const STATUS_BACK: u16 = 2;
    /// `PeerData`: another gateway has sent bytes.
    pub const PEER_DATA: u16 = 3;
    /// `Fleet`: an endpoint list has arrived.
    pub const FLEET: u16 = 4;
    /// `First`: a streamed response has begun.
    pub const FIRST: u16 = 5;
    /// `SnapshotRows`: the entries of an endpoint list to which later `Fleet` events refer.
    pub const SNAPSHOT_ROWS: u16 = 6;
    /// `Halt`: an instance stops.
    pub const HALT: u16 = 7;
    /// `Reckoned`: a call to the counter has ended.
    pub const RECKONED: u16 = 8;
    /// `Abandoned`: the client has disconnected.
    pub const ABANDONED: u16 = 9;
    /// `Incoming`: a request has arrived.
    pub const INCOMING: u16 = 10;
    /// `Attach`: an instance starts.
    pub const ATTACH: u16 = 11;
    /// `Ring`: a timer has expired.
    pub const RING: u16 = 12;
}

/// Codes of actions.
pub(crate) mod action {
    /// `Place`: forward a request.
    pub const PLACE: u16 = 1;
    /// `Fatal`: the instance has panicked.
    pub const FATAL: u16 = 5;
    /// `ReportFailure`: respond that a request has failed.
    pub const REPORT_FAILURE: u16 = 6;
    /// `Defer`: set a timer.
    pub const DEFER: u16 = 7;
    /// `OverloadReply`: respond that a request is rejected.
    pub const OVERLOAD_REPLY: u16 = 8;
    /// `Tally`: add to a number of the counter.
    pub const TALLY: u16 = 9;
    /// `StreamChanges`: subscribe to the endpoint list.
    pub const STREAM_CHANGES: u16 = 11;
    /// `Abandon`: cancel an attempt.
    pub const ABANDON: u16 = 12;
}
