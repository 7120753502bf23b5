//! One way to write a file: comments stay, meaning stays, blanks and line ends become alike.

use std::sync::Arc;

use crate::diagnostic::{Diagnostic, Sources};
use crate::syntax::parse;
use crate::syntax::tree::*;

/// Characters of a line that a list may fill. A longer one gets a line for each item.
const MOST_WIDTH: usize = 100;

/// Writes a file as `fmt` does. `name` stands in the message if it cannot be read; only what a file says by
/// itself counts here, no include and no name.
pub fn format(text: &str, name: &str) -> Result<String, Box<Diagnostic>> {
    let parsed = parse(text);
    if let Some(fault) = parsed.faults.into_iter().next() {
        let file: Arc<str> = name.into();
        let mut sources = Sources::default();
        sources.add(&file, text.into());
        return Err(Box::new(fault.in_file(&file).with_lines(&sources)));
    }
    Ok(written(&parsed.tree))
}

fn written(tree: &Tree) -> String {
    let mut writer = Writer { out: String::new() };
    let mut before: Option<&Statement> = None;
    for statement in &tree.statements {
        let block = |s: &Statement| matches!(s.what, What::Block(_));
        let gap = before.is_some_and(|before| block(before) || block(statement));
        writer.lead(&statement.lead, "", before.is_none(), gap);
        writer.statement(statement);
        before = Some(statement);
    }
    writer.comments(&tree.tail, "", before.is_none());
    writer.out
}

struct Writer {
    out: String,
}

impl Writer {
    /// Comments before something, and blank lines: none at the beginning, one where `gap` wants it.
    fn lead(&mut self, lead: &Lead, indent: &str, first: bool, gap: bool) {
        let blank = lead.comments.first().map_or(lead.blank, |comment| comment.blank);
        if gap && !first && !blank {
            self.out.push('\n');
        }
        self.comments(&lead.comments, indent, first);
        if lead.blank && !(first && lead.comments.is_empty()) {
            self.out.push('\n');
        }
    }

    fn comments(&mut self, comments: &[Comment], indent: &str, first: bool) {
        for (i, comment) in comments.iter().enumerate() {
            if comment.blank && !(first && i == 0) {
                self.out.push('\n');
            }
            self.line(&[indent, &comment.text]);
        }
    }

    fn line(&mut self, parts: &[&str]) {
        parts.iter().for_each(|part| self.out.push_str(part));
        self.out.push('\n');
    }

    /// The end of a line, with the comment behind it.
    fn end(&mut self, after: Option<&str>) {
        if let Some(comment) = after {
            self.out.push_str("  ");
            self.out.push_str(comment);
        }
        self.out.push('\n');
    }

    fn statement(&mut self, statement: &Statement) {
        match &statement.what {
            What::Include(path) => self.out.push_str(&format!("include {}", path.raw)),
            What::Let(name, value) => {
                let begin = format!("let {} = ", name.text);
                self.out.push_str(&begin);
                if let Some(value) = value {
                    self.value(value, "", begin.chars().count());
                }
            }
            What::Block(block) => self.block(block),
        }
        self.end(statement.after.as_deref());
    }

    fn block(&mut self, block: &Block) {
        self.out.push_str(&format!("{} {} {{", block.kind(), block.name.raw));
        if block.settings.is_empty() && block.tail.is_empty() && block.open.is_none() {
            return self.out.push('}');
        }
        self.end(block.open.as_deref());
        for (i, setting) in block.settings.iter().enumerate() {
            self.lead(&setting.lead, "  ", i == 0, false);
            let begin = format!("  {} = ", setting.key.text);
            self.out.push_str(&begin);
            self.value(&setting.value, "  ", begin.chars().count());
            self.end(setting.after.as_deref());
        }
        self.comments(&block.tail, "  ", block.settings.is_empty());
        self.out.push('}');
    }

    fn value(&mut self, value: &Value, indent: &str, column: usize) {
        let Value::List(list, _) = value else {
            return self.out.push_str(&plain(value));
        };
        let comments =
            !list.tail.is_empty() || list.items.iter().any(|i| i.after.is_some() || !i.lead.is_empty());
        let items: Vec<String> = list.items.iter().map(|item| plain(&item.value)).collect();
        let line = format!("[{}]", items.join(", "));
        if !comments && column + line.chars().count() <= MOST_WIDTH {
            return self.out.push_str(&line);
        }
        let inner = format!("{indent}  ");
        self.out.push_str("[\n");
        for (i, (item, text)) in list.items.iter().zip(&items).enumerate() {
            self.comments(&item.lead, &inner, i == 0);
            self.out.push_str(&format!("{inner}{text},"));
            self.end(item.after.as_deref());
        }
        self.comments(&list.tail, &inner, list.items.is_empty());
        self.out.push_str(indent);
        self.out.push(']');
    }
}

/// A value that is no list, as it is written.
fn plain(value: &Value) -> String {
    match value {
        Value::Text(text) => text.raw.clone(),
        Value::Figure(figure) => match &figure.unit {
            Some(unit) => format!("{} {}", figure.number.text, unit.text),
            None => figure.number.text.clone(),
        },
        Value::Range(from, to) => format!("{}..{}", from.text, to.text),
        Value::Name(word) => word.text.clone(),
        // A list holds no lists.
        Value::List(..) => String::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::format;

    #[test]
    fn a_file_is_written_in_one_way_and_keeps_its_comments() {
        let text = "\u{FEFF}# head\r\n\r\n\r\ninclude   \"a.fb\"#one\nlet x=30units/s\npool \"a\"{# open\n\n\
                    zones=[\"b\",\n# own\n\"c\" # behind\n]\n\n\n# tail\n} # close\nroute \"r\" { pool = \"a\" }\n# end";
        let expected = "# head\n\ninclude \"a.fb\"  #one\nlet x = 30 units/s\n\npool \"a\" {  # open\n\
                        \x20 zones = [\n    \"b\",\n    # own\n    \"c\",  # behind\n  ]\n\n  # tail\n}  # close\n\n\
                        route \"r\" {\n  pool = \"a\"\n}\n# end\n";
        assert_eq!(format(text, "x.fb").unwrap(), expected);
        assert_eq!(format(expected, "x.fb").unwrap(), expected);
    }

    #[test]
    fn a_file_that_cannot_be_read_is_not_written() {
        let error = format("pool \"a\" {\n  zones = \"b\n}\n", "x.fb").unwrap_err();
        assert_eq!(error.one_line(), "x.fb:2:11: error: the text that begins here has no closing quote");
    }
}
