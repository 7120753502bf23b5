//! The judge, fed by hand.

mod answers;
mod ceilings;
mod cold;
mod day;
mod drains;
mod effects;
mod figures;
mod order;
mod quota;
mod worth;
mod wrongdoers;
