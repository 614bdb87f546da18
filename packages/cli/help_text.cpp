#include "cli/help_text.h"

namespace figspoke::cli {

const char* help_text() {
    return R"(figspoke - operators' command line of the router figspoke

The configuration table holds the client accounts, model versions, upstreams, services and priorities. It is
stored in the platform's key-value service (--kv); every node (--node names any of them) follows it.

Look:
  figspoke table get --kv IP:port                    all rows
  figspoke table get account --kv IP:port            the rows of one kind
  figspoke table get account/acme --kv IP:port       one row, with the defaults of its empty columns
  figspoke table log --kv IP:port                    the last 200 changes: revision, row, author, edit id
  figspoke table export --kv IP:port > rows.csv      the table for a spreadsheet
  figspoke table diff rows.csv --kv IP:port          how a file differs from the stored table
  figspoke status --node IP:port                     a node and the nodes that it knows

Change (--kv and --node; waits until every node has the change in effect):
  figspoke table set account/acme weight=2 quality=0.9
  figspoke table set account/acme key_file=acme.key  stores the SHA-256 of the API key in the file
  figspoke table set version/small@2 state=withdrawn
  figspoke table rm version/small@1
  figspoke table import rows.csv --dry_run           shows what would change, stores nothing
  figspoke table import rows.csv                     stores all rows of the file or none
  figspoke table import rows.csv --remove_missing    also removes the rows that the file lacks
  figspoke drain --node IP:port                      stops a node gracefully: it finishes its work and ends

An edit is refused when somebody else changed the same row meanwhile; the message says who. Edits of other
rows don't disturb each other.

Measure:
  figspoke load --node IP:port --keys_file keys.txt --rate 50 --duration_s 30
                                                     open-loop load with a fixed seed; the file has one
                                                     API key a line. Further flags, with their defaults:
  --seed 1  --connections 256  --timeout_ms 60000    seed, most requests at a time, longest silence
  --urgent 0.2 --batch 0.3                           shares of the priorities; the rest is normal
  --prompt_tokens 200 --answer_tokens 64             mean lengths
  --streams 0.5                                      share of chat requests that are streamed
  --orders 0 --order_service NAME                    share of orders, and the service that takes them

Flags:
  --kv IP:port        key-value service
  --node IP:port      a node
  --author NAME       who makes the change (default: the login name)
  --wait_ms N         longest wait for a change to take effect or a node to end (default 10000)
  --json              one line of JSON instead of text
  --flagfile FILE     reads flags from a file, one a line, such as --kv=10.0.0.5:7000

Exit codes:
  0  done; an edit is in effect on every node
  1  a flag, word, file or row is not accepted; nothing was changed
  2  a service can't be reached; nothing was changed
  3  somebody else changed the row; nothing was changed
  4  stored (or draining), but not finished within --wait_ms; it goes on by itself
  5  no clear answer: the edit may or may not be stored; the message names its id for `figspoke table log`
  6  table diff found differences
  7  the row does not exist, a service refused the request, or a drained node did not end gracefully
  8  stored, and lost by the key-value service before it was in effect; store it again
)";
}

} // namespace figspoke::cli
