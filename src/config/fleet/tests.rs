use super::super::read_operator;

const VALID_FILE: &str = r#"[fleet]
name = "tyww"
bind = "127.0.0.21:9200"
electors = [{ index = 0, at = "127.0.0.21:9200" }, { index = 1, at = "127.0.0.22:9200" }, { index = 2, at = "127.0.0.23:9200" }]
term_ms = 4000
delay_ms = 100
"#;

const SITE_SETTINGS: &str = r#"{"fleetSize": 4, "index": 0, "classes": [], "bounds": {"mostTries": 3, "peers": true},
        "contract": {"coldFrom": 0.2, "coldNs": 1, "fallMultiple": 3, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;

fn parse_and_check(text: &str, site: &str) -> Result<(), String> {
    let operator = read_operator(text).map_err(|error| error.to_string())?;
    assert!(operator.fleet.is_some(), "the file has a fleet");
    let site = crate::settings::read_site(site.as_bytes()).expect("the site's settings are valid");
    operator.check_site(&site).map_err(|error| error.to_string())
}

#[test]
fn the_example_file_and_a_valid_fleet_are_accepted() {
    let operator = read_operator(include_str!("../../../deploy/fleet.toml")).unwrap();
    assert_eq!(operator.fleet.unwrap().electors.len(), 3);
    assert_eq!(parse_and_check(VALID_FILE, SITE_SETTINGS), Ok(()));
}

/// Each error names the key and the reason.
#[test]
fn invalid_fleet_sections_are_rejected() {
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
        assert!(VALID_FILE.contains(from), "{from}");
        let error = parse_and_check(&VALID_FILE.replacen(from, to, 1), SITE_SETTINGS).unwrap_err();
        assert!(error.starts_with("operator's file: ") && error.contains(why), "{to}: {error}");
    }
    let without_peers = SITE_SETTINGS.replace("\"peers\": true", "\"peers\": false");
    assert!(
        parse_and_check(VALID_FILE, &without_peers)
            .unwrap_err()
            .contains("bounds.peers of the settings is false")
    );
    let other = SITE_SETTINGS.replace("\"index\": 0", "\"index\": 3");
    assert!(parse_and_check(VALID_FILE, &other).unwrap_err().contains("lacks this process, index 3"));
}
