//! Splits an nginx configuration into tokens and parses these into directives.

use std::iter::{Peekable, from_fn};
use std::str::Chars;
use std::vec::IntoIter;

use super::error::NginxError;

/// Maximum nesting depth of blocks. Parsing recurses once per level, so a file with deeper nesting could overflow the stack.
const MAX_BLOCK_DEPTH: usize = 32;

/// A directive with its arguments and, if it has a block, the directives inside.
#[derive(Debug)]
pub(super) struct Directive {
    pub(super) line: usize,
    /// The directive's name, followed by its arguments.
    arguments: Vec<String>,
    pub(super) block: Option<Vec<Directive>>,
}

impl Directive {
    /// The directive's name, followed by its arguments.
    pub(super) fn arguments(&self) -> Vec<&str> {
        self.arguments.iter().map(String::as_str).collect()
    }
}

/// Parses the text of a configuration.
pub(super) fn parse(text: &str) -> Result<Vec<Directive>, NginxError> {
    let tokens = Tokenizer::new(text).tokens()?;
    directives(&mut tokens.into_iter().peekable(), None, 0)
}

#[derive(Debug, PartialEq)]
enum Token {
    /// A name or an argument.
    Text(String),
    /// `{`
    Open,
    /// `}`
    Close,
    /// `;`
    End,
}

struct Tokenizer<'text> {
    characters: Peekable<Chars<'text>>,
    line: usize,
}

impl<'text> Tokenizer<'text> {
    fn new(text: &'text str) -> Tokenizer<'text> {
        Tokenizer {
            characters: text.chars().peekable(),
            line: 1,
        }
    }

    /// All tokens, each with its line.
    fn tokens(mut self) -> Result<Vec<(usize, Token)>, NginxError> {
        let mut tokens = Vec::new();
        while let Some(character) = self.characters.next() {
            match character {
                '\n' => self.line += 1,
                c if c.is_whitespace() => {}
                '#' => while self.characters.next_if(|&c| c != '\n').is_some() {},
                '{' => tokens.push((self.line, Token::Open)),
                '}' => tokens.push((self.line, Token::Close)),
                ';' => tokens.push((self.line, Token::End)),
                '"' | '\'' => {
                    let start_line = self.line;
                    tokens.push((start_line, Token::Text(self.quoted(character)?)));
                }
                first => tokens.push((self.line, Token::Text(self.unquoted(first)))),
            }
        }
        Ok(tokens)
    }

    /// The text up to the closing `quote`, which is consumed.
    fn quoted(&mut self, quote: char) -> Result<String, NginxError> {
        let start_line = self.line;
        let mut text = String::new();
        loop {
            match self.characters.next() {
                Some(end) if end == quote => return Ok(text),
                Some('\\') => text.extend(self.characters.next()),
                Some(other) => {
                    self.line += usize::from(other == '\n');
                    text.push(other);
                }
                None => return Err(NginxError::OpenQuote { line: start_line }),
            }
        }
    }

    /// The text up to white space or a delimiter.
    fn unquoted(&mut self, first: char) -> String {
        let is_part = |c: &char| !c.is_whitespace() && !matches!(c, ';' | '{' | '}');
        let mut text = String::from(first);
        while let Some(character) = self.characters.next_if(is_part) {
            match character {
                // The braces of a variable do not open a block.
                '$' if self.characters.peek() == Some(&'{') => {
                    text.push('$');
                    let characters = &mut self.characters;
                    text.extend(from_fn(|| characters.next_if(|&c| c != '}' && c != '\n')));
                    text.extend(self.characters.next_if_eq(&'}'));
                }
                '\\' => text.extend(self.characters.next_if(|&c| c != '\n')),
                other => text.push(other),
            }
        }
        text
    }
}

type Tokens = Peekable<IntoIter<(usize, Token)>>;

/// Parses the directives up to the end of the block that begins at line `opened`, or without one up to the end of the text.
fn directives(
    tokens: &mut Tokens,
    opened: Option<usize>,
    depth: usize,
) -> Result<Vec<Directive>, NginxError> {
    let mut found = Vec::new();
    loop {
        let (line, name) = match (tokens.next(), opened) {
            (Some((line, Token::Text(name))), _) => (line, name),
            (Some((_, Token::Close)), Some(_)) | (None, None) => return Ok(found),
            (Some((line, Token::Close)), None) => return Err(NginxError::UnmatchedClose { line }),
            (Some((line, Token::Open)), _) => {
                return Err(NginxError::BlockWithoutDirective { line });
            }
            (Some((_, Token::End)), _) => continue,
            (None, Some(line)) => return Err(NginxError::OpenBlock { line }),
        };
        found.push(directive(tokens, line, name, depth)?);
    }
}

/// Parses the rest of the directive called `name`: its arguments and its block, if it has one.
fn directive(
    tokens: &mut Tokens,
    line: usize,
    name: String,
    depth: usize,
) -> Result<Directive, NginxError> {
    let mut arguments = vec![name];
    let block = loop {
        match tokens.next() {
            Some((_, Token::Text(argument))) => arguments.push(argument),
            Some((_, Token::End)) => break None,
            Some((line, Token::Open)) if depth >= MAX_BLOCK_DEPTH => {
                return Err(NginxError::TooDeep { line });
            }
            Some((line, Token::Open)) => break Some(directives(tokens, Some(line), depth + 1)?),
            Some((_, Token::Close)) | None => {
                return Err(NginxError::NoSemicolon {
                    line,
                    directive: arguments.join(" "),
                });
            }
        }
    };
    Ok(Directive {
        line,
        arguments,
        block,
    })
}
