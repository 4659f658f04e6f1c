//! The reference page of the settings, made from their table.

use std::fmt::Write;

use crate::table::{self, Setting};
use crate::{MAX_CHANGE, MAX_CHANGES, MAX_EDIT, MAX_NODES};

const INTRO: &str = "\
# Settings of the tree

<!-- Made by `hyssopctl reference > docs/SETTINGS.md` from components/tree/src/table.rs. -->

The settings of a router, such as the memory and the connections that callers may use (`limits`), are in
[OPERATIONS.md](OPERATIONS.md#settings).

Operators edit the tree as a file of JSON with comments. A node has a `kind`, its own `settings` and its
`children`; it has the settings of the node above unless it sets its own.

```jsonc
{
  \"settings\": { \"deadline\": \"30s\" },
  \"children\": {
    \"likhari\": {
      \"settings\": { \"service\": \"likhari\" },
      \"children\": {
        \"page-text\": {
          \"kind\": \"model\",
          \"settings\": { \"version\": \"v2\", \"weights\": \"14GiB\" },
          \"children\": {
            \"v2\": { \"kind\": \"version\" },
            \"urdu\": { \"kind\": \"adapter\" },
          },
        },
      },
    },
  },
}
```

## Kinds

| kind | place | what it is |
|---|---|---|
| `branch` | below a branch; the default | a hall, a department or another group of nodes |
| `model` | below a branch | a model; callers ask for its name, which no other model has |
| `adapter` | below a model | an adapter; callers ask for `model:adapter`; it is served by the model's replicas |
| `version` | below a model | a version; the model's `version` chooses one, whose `weights`, `kv-room` and `batch` hold |
| `service` | below a branch | a plain service; callers reach it at `/services/NAME/` |

## Settings
";

const CLOSING: &str = "
## Closing windows

A window is an object with these keys, all of them needed:

| key | example | what it is |
|---|---|---|
| `opens` | `\"monthly last 08:00\"` | when it opens, in the time of `zone` |
| `lasts` | `\"12h\"` | how long it stays open; at most `28days` |
| `zone` | `\"Asia/Karachi\"` | an IANA time zone, as the program knows it; the machine's files are not read |
| `replicas` | `1` | how many replicas must be loaded when it opens; at most `replicas-most` |

`opens` is one of:

- `monthly last 08:00`: the last day of every month.
- `monthly 25 08:00`: a day of every month; of a shorter month its last day.
- `yearly 03-31 08:00`: a day of every year; 29 February counts as 28 February where there is none.
- `once 2026-12-31T08:00`: once.

A time that a clock change skips opens as long after the change as it was to come after it (02:30 becomes
03:30); of a time that comes twice the first counts.

## Values

A span of time is written as `500ms`, `30s`, `15m`, `1h 30m` or `1day`, a size as `512MiB` or `14GiB`.
`60m` and `1h` are the same value.
";

/// The page `docs/SETTINGS.md`.
pub fn reference() -> String {
    let mut page = String::from(INTRO);
    table::table().iter().for_each(|setting| section(setting, &mut page));
    page.push_str(CLOSING);
    let _ = write!(
        page,
        "
## Limits

A tree has at most {MAX_NODES} nodes. One edit has at most {MAX_CHANGES} changes; one change has
at most {MAX_CHANGE} bytes of path, name and value, and an edit {MAX_EDIT}. Publish more in parts.
"
    );
    page
}

fn section(setting: &Setting, page: &mut String) {
    let kinds: Vec<String> = setting.kinds.iter().map(|kind| format!("`{kind}`")).collect();
    let default = match setting.default() {
        serde_json::Value::Null => "none".to_owned(),
        value => format!("`{value}`"),
    };
    let _ = write!(
        page,
        "
### `{}`

{}

- Value: {}
- Default: {default}
- On: {}
",
        setting.name,
        setting.doc,
        setting.range,
        kinds.join(", ")
    );
}
