//! `slateshed-adapter`: runs controllers on the simulator's line protocol, over standard input and output. It only
//! translates between lines and events; the controllers make all decisions.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("slateshed-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut session = wire::Session::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let read_bytes =
            input.read_until(b'\n', &mut line).map_err(|e| format!("reading standard input: {e}"))?;
        if read_bytes == 0 {
            return session.end_of_input();
        }
        let line_text = std::str::from_utf8(&line)
            .map_err(|_| "standard input has a line that is not UTF-8".to_string())?;
        if session.handle_line(line_text.trim_end_matches(['\n', '\r']))? {
            output
                .write_all(session.reply().as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("writing standard output: {e}"))?;
        }
    }
}
