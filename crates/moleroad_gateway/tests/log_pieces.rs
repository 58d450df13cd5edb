//! How queued log lines are split into writes.

use moleroad_gateway::logging::pieces;

const LINE: &str = "{\"event\":\"send\",\"outcome\":\"failed\"}\n";
/// What a pipe takes in one write, in bytes.
const PIPE_BYTES: usize = 4_096;

// Guards against losing the end of a large write together with the last lines of a process.
#[test]
fn each_write_holds_whole_lines_that_a_pipe_takes_at_once() {
    let text = LINE.repeat(1_000).into_bytes();
    let pieces = pieces(&text);
    assert_eq!(pieces.concat(), text);
    assert!(pieces.len() > 1);
    for piece in pieces {
        assert!(piece.len() <= PIPE_BYTES, "{} bytes", piece.len());
        assert!(piece.ends_with(b"\n"));
    }
}

#[test]
fn a_line_that_is_longer_is_a_piece_of_its_own() {
    let long = "x".repeat(3 * PIPE_BYTES) + "\n";
    let text = [LINE, &long, LINE].concat().into_bytes();
    let pieces = pieces(&text);
    assert_eq!(pieces, [LINE.as_bytes(), long.as_bytes(), LINE.as_bytes()]);
}

#[test]
fn an_unfinished_line_is_written_as_it_is() {
    assert_eq!(pieces(b""), Vec::<&[u8]>::new());
    assert_eq!(pieces(b"a\nb"), [&b"a\n"[..], &b"b"[..]]);
}
