//! Gateways that do as a script tells them.

use bytes::BytesMut;
use cluster_model::requests;
use resp::Frame;
use runtime::{Env, Listener, Span, Stream, Task, Writer};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PONG: &str = "+PONG\r\n";

/// What a gateway does with a command.
pub enum Act {
    Answer(String),
    /// Answers after a while.
    Late(Span, String),
    /// Answers, and after a while writes something more and ends the connection.
    Again(String, Span, String),
    /// Writes this after a while and ends the connection.
    End(Span, String),
    /// Resets the connection.
    Reset,
    /// Says nothing until the client goes.
    Silence,
}

/// A command as it came.
#[derive(Clone, Debug)]
pub struct Command {
    pub words: Vec<String>,
    /// Which connection.
    pub connection: usize,
    /// Its place on this connection, from 0.
    pub place: usize,
}

impl Command {
    pub fn is_ping(&self) -> bool {
        self.words[0] == "PING"
    }

    pub fn id(&self) -> u64 {
        u64::from_str_radix(&self.words[2], 16).unwrap()
    }

    /// The answer with the value that a host makes for it.
    pub fn served(&self) -> String {
        let value = requests::response_value(self.id());
        format!("${}\r\n{value}\r\n", value.len())
    }
}

type Script = dyn Fn(&Command) -> Act + Send + Sync;

/// What a gateway has seen.
pub struct Book<E: Env> {
    commands: Vec<Command>,
    pub connections: usize,
    /// Commands in hand.
    pub open: usize,
    pub most_open: usize,
    /// Connections that have ended.
    pub ended: usize,
    tasks: Vec<E::Task>,
}

/// A gateway that does as it is told.
pub struct Gateway<E: Env> {
    env: E,
    pub address: SocketAddr,
    pub book: Arc<Mutex<Book<E>>>,
}

impl<E: Env> Gateway<E> {
    pub fn start(env: &E, script: impl Fn(&Command) -> Act + Send + Sync + 'static) -> Gateway<E> {
        let listener = env.listen("127.0.0.1:0".parse().unwrap(), 64).unwrap();
        let address = listener.local_addr().unwrap();
        let book =
            Book { commands: Vec::new(), connections: 0, open: 0, most_open: 0, ended: 0, tasks: Vec::new() };
        let book = Arc::new(Mutex::new(book));
        let task = env.spawn(accept(env.clone(), listener, book.clone(), Arc::new(script)));
        book.lock().unwrap().tasks.push(task);
        Gateway { env: env.clone(), address, book }
    }

    /// Answers `PING`, and calls by this script.
    pub fn ready(env: &E, script: impl Fn(&Command) -> Act + Send + Sync + 'static) -> Gateway<E> {
        Gateway::start(env, move |command| match command.is_ping() {
            true => Act::Answer(PONG.into()),
            false => script(command),
        })
    }

    pub fn serving(env: &E) -> Gateway<E> {
        Gateway::ready(env, |call| Act::Answer(call.served()))
    }

    pub fn commands(&self) -> Vec<Command> {
        self.book.lock().unwrap().commands.clone()
    }

    pub fn calls(&self) -> Vec<Command> {
        self.commands().into_iter().filter(|command| !command.is_ping()).collect()
    }

    pub fn pings(&self) -> usize {
        self.commands().iter().filter(|command| command.is_ping()).count()
    }

    /// Ends as a process does.
    pub async fn die(self) {
        self.book.lock().unwrap().tasks.drain(..).for_each(|task| task.abort());
        // They end at their next rest.
        self.env.sleep(1_000_000).await;
    }
}

async fn accept<E: Env>(env: E, mut listener: E::Listener, book: Arc<Mutex<Book<E>>>, script: Arc<Script>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let number = book.lock().unwrap().connections;
        let task = env.spawn(serve(env.clone(), stream, number, book.clone(), script.clone()));
        let mut book = book.lock().unwrap();
        book.connections += 1;
        book.tasks.push(task);
    }
}

async fn serve<E: Env>(
    env: E,
    stream: E::Stream,
    connection: usize,
    book: Arc<Mutex<Book<E>>>,
    script: Arc<Script>,
) {
    let (mut open, mut place) = (Some((stream, BytesMut::new())), 0);
    while let Some((mut stream, mut input)) = open.take() {
        let Some(words) = command(&mut stream, &mut input).await else { break };
        let command = Command { words, connection, place };
        begin(&book, &command);
        open = act(&env, stream, script(&command)).await.map(|stream| (stream, input));
        book.lock().unwrap().open -= 1;
        place += 1;
    }
    book.lock().unwrap().ended += 1;
}

fn begin<E: Env>(book: &Mutex<Book<E>>, command: &Command) {
    let mut book = book.lock().unwrap();
    book.commands.push(command.clone());
    book.open += 1;
    book.most_open = book.most_open.max(book.open);
}

async fn command<S: Stream>(stream: &mut S, input: &mut BytesMut) -> Option<Vec<String>> {
    let frame = loop {
        match resp::decode(input).unwrap() {
            Some(frame) => break frame,
            None => resp::fill(stream, input).await.ok()?,
        }
    };
    let Frame::Array(items) = frame else { panic!("{frame:?}") };
    let word = |item: &Frame| match item {
        Frame::Bulk(word) => String::from_utf8(word.to_vec()).unwrap(),
        other => panic!("{other:?}"),
    };
    Some(items.iter().map(word).collect())
}

/// Does it, and gives the connection back if it goes on. A client that has gone is none of our business.
async fn act<E: Env>(env: &E, mut stream: E::Stream, act: Act) -> Option<E::Stream> {
    match act {
        Act::Answer(text) => stream.write_all(text.as_bytes()).await.ok()?,
        Act::Late(after, text) => {
            env.sleep(after).await;
            stream.write_all(text.as_bytes()).await.ok()?;
        }
        Act::Again(text, after, more) => {
            stream.write_all(text.as_bytes()).await.ok()?;
            env.sleep(after).await;
            stream.write_all(more.as_bytes()).await.ok()?;
            return None;
        }
        Act::End(after, text) => {
            env.sleep(after).await;
            stream.write_all(text.as_bytes()).await.ok()?;
            return None;
        }
        Act::Reset => {
            let (_reader, writer) = stream.into_split();
            writer.reset();
            return None;
        }
        Act::Silence => {
            // The client's end shows as the end of the stream.
            let _ = stream.read_u8().await;
            return None;
        }
    }
    Some(stream)
}
