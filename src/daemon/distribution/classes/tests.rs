use super::*;
use crate::fleet::distribution::Topic;
use serde_json::json;

fn class(name: &str, deadline: u64) -> Json {
    json!({"name": name, "deadlineNs": deadline, "objectiveNs": 1, "effect": "retryable", "tone": "blue"})
}

fn file(classes: &[Json]) -> Config {
    let text = json!({"name": "n0", "listen": "127.0.0.1:1", "settings": {"classes": classes,
        "bounds": {"mostTries": 3}, "contract": {"coldFrom": 0.2, "coldNs": 1, "fallMultiple": 3, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}});
    config::read(text.to_string().as_bytes()).unwrap()
}

fn set(name: &str, value: &Json) -> Change {
    let value = Some(Value::Class(value.to_string()));
    Change { topic: Topic::SETTINGS, key: Key::Class(name.to_owned()), value }
}

fn unset(name: &str) -> Change {
    Change { topic: Topic::SETTINGS, key: Key::Class(name.to_owned()), value: None }
}

fn deadlines(config: &Config) -> Vec<(String, u64)> {
    let names = config.site.classes.iter().map(|name| name.clone().unwrap());
    names.zip(config.site.settings.classes.iter().map(|class| class.deadline.0)).collect()
}

fn named(list: &[(&str, u64)]) -> Vec<(String, u64)> {
    list.iter().map(|(name, deadline)| ((*name).to_owned(), *deadline)).collect()
}

#[test]
fn distributed_classes_override_the_file_until_removed() {
    let mut classes = Classes::new(&file(&[class("a", 1), class("b", 2)]));
    let config = classes.install(&[set("b", &class("b", 20)), set("c", &class("c", 30))]).unwrap().unwrap();
    assert_eq!(deadlines(&config), named(&[("a", 1), ("b", 20), ("c", 30)]));
    // A new file does not replace distributed classes.
    let new = file(&[class("a", 5), class("b", 6)]);
    let used = classes.with_distributed(new.clone()).unwrap();
    assert_eq!(deadlines(&used), named(&[("a", 5), ("b", 20), ("c", 30)]));
    classes.replace(new);
    // A change without classes yields no configuration.
    assert!(classes.install(&[]).unwrap().is_none());
    let config = classes.install(&[unset("b")]).unwrap().unwrap();
    assert_eq!(deadlines(&config), named(&[("a", 5), ("b", 6), ("c", 30)]));
}

/// One invalid class rejects all changes of the version, with the reason, and the last good state is kept.
#[test]
fn changes_with_an_invalid_class_are_rejected_as_a_whole() {
    let mut classes = Classes::new(&file(&[class("a", 1), class("b", 2)]));
    classes.install(&[set("b", &class("b", 20))]).unwrap();
    let mut toneless = class("c", 30);
    toneless.as_object_mut().unwrap().remove("tone");
    let cases = [
        (set("c", &class("c", 0)), "deadlineNs is not over 0"),
        (set("c", &class("d", 1)), "class 'c': its name is \"d\""),
        (set("c", &toneless), "settings.classes[2].tone is missing"),
        (set("c", &json!({"name": "c"})), "settings"),
        (set("c", &json!([])), "its name is null"),
    ];
    for (bad, why) in cases {
        let changes = [set("a", &class("a", 10)), bad];
        let error = ClassCheck(Rc::new(RefCell::new(Classes::new(&file(&[class("a", 1), class("b", 2)])))))
            .check(&changes)
            .unwrap_err();
        assert!(error.contains(why), "{why}: {error}");
        assert!(classes.install(&changes).is_err());
    }
    let cut = Change { value: Some(Value::Class("{\"name\":".to_owned())), ..set("c", &json!({})) };
    assert!(classes.install(&[cut]).is_err());
    let used = classes.with_distributed(classes.file.clone()).unwrap();
    assert_eq!(deadlines(&used), named(&[("a", 1), ("b", 20)]), "the last good state stays");
}

/// A process that joins again receives the complete state: classes that are not in it are removed.
#[test]
fn the_first_changes_after_joining_replace_all_earlier_ones() {
    let mut classes = Classes::new(&file(&[class("a", 1)]));
    classes.install(&[set("b", &class("b", 20)), set("c", &class("c", 30))]).unwrap();
    classes.expect_snapshot();
    let config = classes.install(&[set("c", &class("c", 31))]).unwrap().unwrap();
    assert_eq!(deadlines(&config), named(&[("a", 1), ("c", 31)]));
    classes.expect_snapshot();
    let config = classes.install(&[]).unwrap().unwrap();
    assert_eq!(deadlines(&config), named(&[("a", 1)]));
}
