//! Limits on descriptors.

use crate::support::{note_what_comes, pair};
use cluster_model::{MS, SECOND};
use runtime::{Env, Listener, Stream};
use std::io;

const EMFILE: Option<i32> = Some(24);

fn code<T>(result: io::Result<T>) -> Option<i32> {
    result.err().and_then(|error| error.raw_os_error())
}

#[test]
fn beyond_the_limit_nothing_is_opened_and_what_is_closed_counts_no_more() {
    let room = pair();
    let _listener = room.listen();
    room.client.set_descriptors(2);
    let (env, notes, addr) = (room.client.clone(), room.notes.clone(), room.addr());
    room.client.spawn(async move {
        let one = env.connect(addr).await.unwrap();
        let (reader, writer) = env.connect(addr).await.unwrap().into_split();
        notes.add(&env, format!("{:?}", code(env.connect(addr).await)));
        notes.add(&env, format!("{:?}", code(env.listen("0.0.0.0:0".parse().unwrap(), 1))));
        drop(reader);
        notes.add(&env, env.open_descriptors());
        drop(writer);
        notes.add(&env, env.open_descriptors());
        drop(one);
        let _listener = env.listen("0.0.0.0:0".parse().unwrap(), 1).unwrap();
        notes.add(&env, env.open_descriptors());
    });
    let full = format!("2.4 {EMFILE:?}");
    assert_eq!(room.run(SECOND), [&*full, &*full, "2.4 2", "2.4 1", "2.4 1"]);
    assert_eq!(room.client.open_descriptors(), 0);
}

#[test]
fn what_cannot_be_accepted_for_want_of_descriptors_waits() {
    let room = pair();
    let mut listener = room.listen();
    room.host.set_descriptors(1);
    let (env, notes) = (room.host.clone(), room.notes.clone());
    room.host.spawn(async move {
        notes.add(&env, format!("{:?}", code(listener.accept().await)));
        env.sleep(10 * MS).await;
        env.set_descriptors(2);
        notes.add(&env, format!("{:?}", code(listener.accept().await)));
        notes.add(&env, env.open_descriptors());
    });
    room.ask(|env, mut stream| async move { note_what_comes(&env, &Default::default(), &mut stream).await });
    let full = format!("1.8 {EMFILE:?}");
    assert_eq!(room.run(SECOND), [&*full, "11.8 None", "11.8 1"]);
}
