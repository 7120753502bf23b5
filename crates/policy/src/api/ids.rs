//! Identifiers that the gateway and the decision module share.

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
    /// Identifies one machine of the back end; it keeps its identifier when its process restarts.
    HostId,
    /// Identifies a customer, whose quota holds over all gateways together.
    CustomerId,
    /// Names a number that the shared counter service keeps.
    CounterKey
);
