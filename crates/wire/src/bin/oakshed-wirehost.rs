//! Runs schedulers for the simulator, with its protocol on standard input and output.

use std::io::{BufReader, BufWriter};

fn main() {
    let input = BufReader::with_capacity(1 << 16, std::io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, std::io::stdout().lock());
    if let Err(error) = oakshed_wire::serve(input, output) {
        eprintln!("oakshed-wirehost: {error}");
        std::process::exit(1);
    }
}
