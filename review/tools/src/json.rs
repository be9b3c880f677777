//! A small JSON reader for the bodies that the gateway sends to the store.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        let value = reader.value()?;
        reader.blanks();
        (reader.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> Option<&str> {
        let Json::Text(text) = self else { return None };
        Some(text)
    }

    pub fn number(&self) -> Option<f64> {
        let Json::Number(number) = self else { return None };
        Some(*number)
    }

    pub fn print(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(value) => value.to_string(),
            Json::Number(value) => value.to_string(),
            Json::Text(text) => quote(text),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::print).collect();
                format!("[{}]", items.join(","))
            }
            Json::Object(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(name, value)| format!("{}:{}", quote(name), value.print()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn blanks(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, word: &str) -> Option<()> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.blanks();
        match *self.text.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.blanks();
                    if self.eat("]").is_some() {
                        return Some(Json::List(items));
                    }
                    if !items.is_empty() {
                        self.eat(",")?;
                    }
                    items.push(self.value()?);
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.blanks();
                    if self.eat("}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    if !fields.is_empty() {
                        self.eat(",")?;
                        self.blanks();
                    }
                    let name = self.string()?;
                    self.blanks();
                    self.eat(":")?;
                    fields.push((name, self.value()?));
                }
            }
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = Vec::new();
        loop {
            let c = *self.text.get(self.at)?;
            self.at += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let code = self.text.get(self.at..self.at + 4)?;
                            let code = std::str::from_utf8(code).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            self.at += 4;
                            let mut buf = [0; 4];
                            out.extend(char::from_u32(code)?.encode_utf8(&mut buf).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
