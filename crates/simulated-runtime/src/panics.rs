//! Panics of tasks end the run with their text; they are not printed on top of that.

use std::any::Any;
use std::backtrace::{Backtrace, BacktraceStatus};
use std::cell::{Cell, RefCell};
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe, PanicHookInfo};
use std::sync::Once;

thread_local! {
    static INSIDE: Cell<bool> = const { Cell::new(false) };
    static TEXT: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// What `run` gives, or the text of its panic.
pub(crate) fn catch<T>(run: impl FnOnce() -> T) -> Result<T, String> {
    let outer = INSIDE.replace(true);
    let result = catch_unwind(AssertUnwindSafe(run));
    INSIDE.set(outer);
    result.map_err(|payload| TEXT.take().unwrap_or_else(|| words(payload.as_ref())))
}

/// From now on panics inside of [`catch`] are kept for it, all others go where they went. With
/// `RUST_BACKTRACE` set they are printed as well, for the sake of the trace.
pub(crate) fn keep_texts() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let usual = take_hook();
        set_hook(Box::new(move |info| {
            if INSIDE.get() {
                TEXT.set(Some(text_of(info)));
            }
            if !INSIDE.get() || Backtrace::capture().status() == BacktraceStatus::Captured {
                usual(info);
            }
        }));
    });
}

fn text_of(info: &PanicHookInfo<'_>) -> String {
    let words = words(info.payload());
    match info.location() {
        Some(place) => format!("{words} ({}:{}:{})", place.file(), place.line(), place.column()),
        None => words,
    }
}

fn words(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("without words").to_owned()
}
