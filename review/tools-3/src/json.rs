//! JSON as far as the store needs it: values are kept as bytes, so that a text that cannot be read stays as it was written.

use std::collections::BTreeMap;

/// A parsed value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    /// A number, as it was written.
    Number(String),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(number) => number.parse().ok(),
            _ => None,
        }
    }
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            char if (char as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", char as u32)),
            char => out.push(char),
        }
    }
    out.push('"');
    out
}

pub fn write(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(value) => value.to_string(),
        Value::Number(number) => number.clone(),
        Value::Text(text) => quote(text),
        Value::List(items) => {
            let items: Vec<String> = items.iter().map(write).collect();
            format!("[{}]", items.join(","))
        }
        Value::Object(fields) => {
            let fields: Vec<String> = fields
                .iter()
                .map(|(name, value)| format!("{}:{}", quote(name), write(value)))
                .collect();
            format!("{{{}}}", fields.join(","))
        }
    }
}

/// Parses a text; `None` when it is no JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser { text: text.as_bytes(), at: 0 };
    let value = parser.value()?;
    parser.blanks();
    (parser.at == parser.text.len()).then_some(value)
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn blanks(&mut self) {
        while self.text.get(self.at).is_some_and(|byte| b" \t\r\n".contains(byte)) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.blanks();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.blanks();
        match self.text.get(self.at)? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => self.string().map(Value::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Value::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        break;
                    }
                }
                self.take(b']')?;
                Some(Value::List(items))
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Value::Object(fields));
                }
                loop {
                    self.blanks();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        break;
                    }
                }
                self.take(b'}')?;
                Some(Value::Object(fields))
            }
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse::<f64>().ok()?;
                Some(Value::Number(number.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        (self.text.get(self.at) == Some(&b'"')).then_some(())?;
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    let char = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    out.extend_from_slice(char.to_string().as_bytes());
                }
                byte => out.push(byte),
            }
        }
    }
}
