//! Runs statements through the proxy and prints the rows or the error of each.
//!
//! Usage: `cargo run --example client -- <connection string> <statement>...`, with a connection string that
//! `hibiscusladder demo` prints.

use std::error::Error;

use postgres::{Client, NoTls, SimpleQueryMessage};

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let connection_string = arguments
        .next()
        .ok_or("pass a connection string, such as one that `hibiscusladder demo` prints")?;
    let mut client = Client::connect(&connection_string, NoTls)?;
    for statement in arguments {
        println!("> {statement}");
        match client.simple_query(&statement) {
            Ok(messages) => messages.iter().for_each(print_message),
            Err(error) => println!("{}", describe_error(&error)),
        }
    }
    Ok(())
}

fn print_message(message: &SimpleQueryMessage) {
    match message {
        SimpleQueryMessage::Row(row) => {
            let values: Vec<&str> =
                (0..row.len()).map(|index| row.get(index).unwrap_or("NULL")).collect();
            println!("{}", values.join(" | "));
        }
        SimpleQueryMessage::CommandComplete(rows) => println!("({rows} rows)"),
        _ => {}
    }
}

fn describe_error(error: &postgres::Error) -> String {
    let Some(error) = error.as_db_error() else { return error.to_string() };
    format!(
        "{}: {}\nhint: {}",
        error.code().code(),
        error.message(),
        error.hint().unwrap_or("none")
    )
}
