//! Bounds on what one file set may define, in one place because error messages name them.

/// Maximum number of pools that exist at a time: one for each bit of a [`PoolMask`](crate::PoolMask).
pub const MAX_POOLS: usize = 64;

/// Maximum number of routes of a file set. One less than the number of `u16` values, because a table entry of
/// `u16::MAX` means that no route applies.
pub const MAX_ROUTES: usize = 65_535;

/// Maximum number of customer ranges that the routes of a file set may add to the tables. A range counts once for each
/// table that its route is in, and each table counts as one. With this bound the tables of one version take at most
/// 40 MiB and compile in about a second, whatever the files contain.
pub const MAX_RANGES: usize = 1 << 21;
