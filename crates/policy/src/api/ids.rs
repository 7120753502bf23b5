//! Identifiers shared by the gateway and the decision module.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    )*};
}

ids!(
    /// Identifies one request of a client at this gateway; a client's retry is a new request.
    RequestId,
    /// Identifies one machine of the back end; the identifier stays the same when the host's process
    /// restarts.
    HostId,
    /// Identifies a customer, whose quota is shared by all gateways.
    CustomerId,
    /// Key of an entry of the shared counter service.
    CounterKey
);
