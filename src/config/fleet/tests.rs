use super::super::read_operator;

const GOOD: &str = r#"[fleet]
name = "tyww"
bind = "127.0.0.21:9200"
electors = [{ index = 0, at = "127.0.0.21:9200" }, { index = 1, at = "127.0.0.22:9200" }, { index = 2, at = "127.0.0.23:9200" }]
term_ms = 4000
delay_ms = 100
"#;

const SITE: &str = r#"{"fleetSize": 4, "index": 0, "classes": [], "bounds": {"mostTries": 3, "peers": true},
        "contract": {"coldFrom": 0.2, "coldNs": 1, "fallMultiple": 3, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;

fn load(text: &str, site: &str) -> Result<(), String> {
    let operator = read_operator(text).map_err(|error| error.to_string())?;
    assert!(operator.fleet.is_some(), "there is one");
    let site = crate::settings::read_site(site.as_bytes()).expect("a site");
    operator.check_site(&site).map_err(|error| error.to_string())
}

#[test]
fn the_file_under_deploy_is_read() {
    let operator = read_operator(include_str!("../../../deploy/fleet.toml")).unwrap();
    assert_eq!(operator.fleet.unwrap().electors.len(), 3);
    assert_eq!(load(GOOD, SITE), Ok(()));
}

/// Each is refused with the key and the reason.
#[test]
fn odd_fleets_are_refused() {
    let third = r#", { index = 2, at = "127.0.0.23:9200" }"#;
    let cases = [
        (third, "", "electors has 2 entries"),
        (
            third,
            r#", { index = 2, at = "127.0.0.23:9200" }, { index = 3, at = "127.0.0.24:9200" }"#,
            "4 entries",
        ),
        (third, r#", { index = 1, at = "127.0.0.23:9200" }"#, "names 1 at 127.0.0.23:9200 twice"),
        (third, r#", { index = 2, at = "127.0.0.22:9200" }"#, "twice"),
        ("index = 0", "index = 7", "lacks this process, index 0"),
        ("delay_ms", "votes = false\ndelay_ms", "votes is false, but electors names this process"),
        ("127.0.0.23:9200", "10.0.0.23:9200", "10.0.0.23:9200 is none"),
        ("bind = \"127.0.0.21", "bind = \"0.0.0.0", "0.0.0.0:9200 is none"),
        ("bind = \"127.0.0.21", "bind = \"127.0.0.29", "bind is not where electors names this process"),
        ("term_ms = 4000", "term_ms = 399", "term_ms is not between"),
        ("term_ms = 4000", "term_ms = 60001", "term_ms is not between"),
        ("delay_ms = 100", "delay_ms = 251", "term_ms is under 16 times delay_ms, 4016"),
        ("delay_ms", "longest_ms = 3999\ndelay_ms", "longest_ms"),
        ("delay_ms", "drift_ppm = 100001\ndelay_ms", "drift_ppm"),
        ("delay_ms", "parts = 0\ndelay_ms", "parts is not between"),
        ("delay_ms", "parts = 65\ndelay_ms", "parts is not between"),
        ("delay_ms", "speed = 1\ndelay_ms", "unknown field"),
        ("index = 2,", "index = 2, weight = 1,", "unknown field"),
        ("bind = \"127.0.0.21:9200\"\n", "", "missing field"),
        ("term_ms = 4000", "term_ms = -1", "term_ms"),
    ];
    for (from, to, why) in cases {
        assert!(GOOD.contains(from), "{from}");
        let error = load(&GOOD.replacen(from, to, 1), SITE).unwrap_err();
        assert!(error.starts_with("operator's file: ") && error.contains(why), "{to}: {error}");
    }
    let silent = SITE.replace("\"peers\": true", "\"peers\": false");
    assert!(load(GOOD, &silent).unwrap_err().contains("bounds.peers of the settings is false"));
    let other = SITE.replace("\"index\": 0", "\"index\": 3");
    assert!(load(GOOD, &other).unwrap_err().contains("lacks this process, index 3"));
}
