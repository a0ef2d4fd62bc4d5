//! Minimal JSON reader for the messages of the stand-ins.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader { rest: text };
        let value = reader.value()?;
        reader.skip_space();
        reader.rest.is_empty().then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Self::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Reader<'a> {
    rest: &'a str,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, token: &str) -> Option<()> {
        self.skip_space();
        self.rest = self.rest.strip_prefix(token)?;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.rest.chars().next()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            't' => self.take("true").map(|()| Json::Bool(true)),
            'f' => self.take("false").map(|()| Json::Bool(false)),
            'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let is_part = |character: char| "+-.eE0123456789".contains(character);
        let end = self.rest.find(|character| !is_part(character)).unwrap_or(self.rest.len());
        let (number, rest) = self.rest.split_at(end);
        self.rest = rest;
        number.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = String::new();
        let mut characters = self.rest.char_indices();
        while let Some((index, character)) = characters.next() {
            match character {
                '"' => {
                    self.rest = &self.rest[index + 1..];
                    return Some(text);
                }
                '\\' => match characters.next()?.1 {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'b' => text.push('\u{8}'),
                    'f' => text.push('\u{c}'),
                    'u' => {
                        let digits: String =
                            (0..4).filter_map(|_| characters.next()).map(|(_, c)| c).collect();
                        text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                    }
                    other => text.push(other),
                },
                other => text.push(other),
            }
        }
        None
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut items = Vec::new();
        if self.take("]").is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take("]").is_some() {
                return Some(Json::List(items));
            }
            self.take(",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = BTreeMap::new();
        if self.take("}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(":")?;
            fields.insert(name, self.value()?);
            if self.take("}").is_some() {
                return Some(Json::Object(fields));
            }
            self.take(",")?;
        }
    }
}
