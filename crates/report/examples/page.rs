//! Writes a page and prints a table of a made-up night, to look at: `cargo run -p report --example
//! page -- page.html`.

#[path = "../tests/common/mod.rs"]
mod common;

fn main() -> std::io::Result<()> {
    let (verdict, heading) = common::night();
    let file = std::env::args().nth(1).unwrap_or_else(|| "page.html".into());
    std::fs::write(&file, report::html(&verdict, &heading))?;
    print!("{}", report::table(&verdict, &heading));
    if let Some(line) = report::speed_line(&heading) {
        println!("\n{line}");
    }
    println!("{}", report::progress(24.0, 60.0, 3011, 3120, 37.0));
    Ok(())
}
