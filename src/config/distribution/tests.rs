use super::super::read_operator;
use super::Role;

/// The operator's file of a subscriber.
const SUBSCRIBER: &str = r#"[distribution]
name = "tyww"
bind = "127.0.0.41:9300"
role = "subscriber"
parents = ["127.0.0.51:9300", "127.0.0.52:9300"]
zones = ["a"]
"#;

/// The operator's file of a replica.
const REPLICA: &str = r#"[distribution]
name = "tyww"
bind = "127.0.0.61:9300"
role = "replica"
replicas = ["127.0.0.61:9300", "127.0.0.62:9300", "127.0.0.63:9300"]
[fleet]
name = "tyww"
bind = "127.0.0.21:9200"
electors = [{ index = 0, at = "127.0.0.21:9200" }, { index = 1, at = "127.0.0.22:9200" }, { index = 2, at = "127.0.0.23:9200" }]
"#;

const SITE_SETTINGS: &str = r#"{"fleetSize": 4, "index": 0, "classes": [], "zones": ["a", "b"],
        "bounds": {"mostTries": 3, "peers": true},
        "contract": {"coldFrom": 0.2, "coldNs": 1, "fallMultiple": 3, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;

fn parse_and_check(text: &str, site: &str) -> Result<(), String> {
    let operator = read_operator(text).map_err(|error| error.to_string())?;
    let site = crate::settings::read_site(site.as_bytes()).expect("the site's settings are valid");
    operator.check_site(&site).map_err(|error| error.to_string())
}

#[test]
fn the_example_file_and_each_role_are_accepted() {
    let file = include_str!("../../../deploy/distribution.toml");
    let read = |text: &str| read_operator(text).unwrap().distribution.unwrap();
    assert_eq!(read(file).role, Role::Subscriber);
    let uncommented = ["zones =", "catch_up_bytes_per_second ="];
    let uncommented =
        uncommented.iter().fold(file.to_owned(), |text, key| text.replace(&format!("# {key}"), key));
    assert_eq!(
        read(&uncommented).catch_up_bytes_per_second,
        read(file).catch_up_bytes_per_second,
        "the file states the default"
    );
    assert_eq!(parse_and_check(SUBSCRIBER, SITE_SETTINGS), Ok(()));
    assert_eq!(parse_and_check(REPLICA, SITE_SETTINGS), Ok(()));
    let idle = REPLICA.replace("[fleet]\n", "[fleet]\nparts = 0\n");
    assert_eq!(parse_and_check(&idle, SITE_SETTINGS), Ok(()), "a replica's fleet may have no parts");
    let relay = idle
        .replace("role = \"replica\"\nreplicas", "role = \"relay\"\nparents")
        .replace("\"127.0.0.61:9300\", ", "");
    assert!(parse_and_check(&relay, SITE_SETTINGS).unwrap_err().contains("fleet.parts is not between"));
    assert!(read_operator("").unwrap().distribution.is_none(), "off by default");
}

/// Each error names the key and the reason.
#[test]
fn invalid_distribution_sections_are_rejected() {
    let parents = r#"parents = ["127.0.0.51:9300", "127.0.0.52:9300"]"#;
    let many: Vec<String> = (1..=17).map(|n| format!("\"127.0.0.{n}:9300\"")).collect();
    let many = format!("parents = [{}]", many.join(","));
    let cases = [
        (SUBSCRIBER, "name = \"tyww\"", "name = \"\"", "distribution.name is empty"),
        (SUBSCRIBER, "name = \"tyww\"\n", "", "missing field `name`"),
        (SUBSCRIBER, "role = \"subscriber\"", "role = \"owner\"", "unknown variant"),
        (SUBSCRIBER, "127.0.0.41:", "0.0.0.0:", "0.0.0.0:9300 is none"),
        (SUBSCRIBER, "127.0.0.52:", "10.0.0.52:", "10.0.0.52:9300 is none"),
        (SUBSCRIBER, "127.0.0.52:", "127.0.0.51:", "distribution.parents names 127.0.0.51:9300 twice"),
        (SUBSCRIBER, "127.0.0.52:", "127.0.0.41:", "distribution.parents names bind"),
        (SUBSCRIBER, parents, "", "distribution.parents has 0 entries"),
        (SUBSCRIBER, parents, many.as_str(), "distribution.parents has 17 entries"),
        (
            SUBSCRIBER,
            "zones",
            "replicas = [\"127.0.0.61:9300\"]\nzones",
            "distribution.replicas is for replicas",
        ),
        (SUBSCRIBER, "zones", "speed = 1\nzones", "unknown field"),
        (SUBSCRIBER, "\"a\"", "\"c\"", "distribution.zones names 'c'"),
        (SUBSCRIBER, "\"a\"", "\"a\", \"a\"", "distribution.zones names 'a'"),
        (SUBSCRIBER, "subscriber", "relay", "distribution.zones is for subscribers"),
        (
            SUBSCRIBER,
            "zones",
            "catch_up_bytes_per_second = 16383\nzones",
            "distribution.catch_up_bytes_per_second",
        ),
        (SUBSCRIBER, "zones", "catch_up_bytes_per_second = 1250000001\nzones", "distribution.catch_up_bytes"),
        (REPLICA, ", \"127.0.0.63:9300\"", "", "distribution.replicas has 2 entries"),
        (
            REPLICA,
            "\"127.0.0.63:9300\"",
            "\"127.0.0.62:9300\"",
            "distribution.replicas names 127.0.0.62:9300 twice",
        ),
        (REPLICA, "bind = \"127.0.0.61", "bind = \"127.0.0.60", "distribution.replicas lacks bind"),
        (REPLICA, "role", "parents = [\"127.0.0.51:1\"]\nrole", "distribution.parents is for subscribers"),
        (REPLICA, "role", "zones = [\"a\"]\nrole", "distribution.zones is for subscribers"),
    ];
    for (text, from, to, why) in cases {
        assert!(text.contains(from), "{from}");
        let error = parse_and_check(&text.replacen(from, to, 1), SITE_SETTINGS).unwrap_err();
        assert!(error.starts_with("operator's file: ") && error.contains(why), "{to}: {error}");
    }
    let without_fleet = REPLICA.split("[fleet]").next().unwrap();
    assert!(
        parse_and_check(without_fleet, SITE_SETTINGS)
            .unwrap_err()
            .contains("distribution.role is replica, which needs [fleet]")
    );
    let without_peers = SITE_SETTINGS.replace("\"peers\": true", "\"peers\": false");
    assert!(
        parse_and_check(SUBSCRIBER, &without_peers)
            .unwrap_err()
            .contains("bounds.peers of the settings is false")
    );
}
