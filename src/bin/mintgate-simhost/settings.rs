//! The settings text of the wire, turned into the library's settings.

use mintgate::*;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Text {
    fleet_size: u32,
    index: u32,
    #[serde(default)]
    zone: u8,
    #[serde(default)]
    tick_ns: u64,
    classes: Vec<ClassText>,
    #[serde(default)]
    accounts: Vec<Account>,
    over_share_worth: Option<f64>,
    contract: Contract,
    bounds: Bounds,
    family_info: FamilyInfo,
    #[serde(default)]
    prices: PricesText,
    #[serde(default)]
    load_info: LoadInfo,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    weight_source: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassText {
    objective_ns: u64,
    deadline_ns: u64,
    effect: String,
    group: Option<String>,
    repeat_window_ns: Option<u64>,
    worth: Option<f64>,
    #[serde(default)]
    late_share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Account {
    #[serde(default)]
    allowance_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Contract {
    cold_from: f64,
    cold_ns: u64,
    fall_multiple: f64,
    fall_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    most_tries: u16,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    keep_ns: u64,
    not_loaded: String,
    #[serde(default)]
    may_order: bool,
    #[serde(default)]
    memory_mb_by_kind: Vec<f64>,
    load_span_ns: u64,
    #[serde(default)]
    loads_anyway: f64,
    #[serde(default)]
    load_part: f64,
    #[serde(default)]
    price_of_idle: f64,
    #[serde(default)]
    says_company: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct PricesText {
    origin: f64,
    cross_zone: f64,
    waste: f64,
    probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LoadInfo {
    names: Vec<String>,
}

/// Reads the settings; the error names what is missing or odd.
pub fn read(text: &[u8]) -> Result<Settings, String> {
    let text: Text = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let classes = text.classes.iter().enumerate().map(|(n, class)| read_class(n, class));
    let info = text.family_info;
    let (contract, bounds) = (text.contract, text.bounds);
    Ok(Settings {
        fleet_size: text.fleet_size,
        index: text.index,
        zone: ZoneId(text.zone),
        tick: Span(text.tick_ns),
        classes: classes.collect::<Result<_, _>>()?,
        tenants: text.accounts.iter().map(|a| Tenant { allowance_per_s: a.allowance_per_s }).collect(),
        over_share_worth: text.over_share_worth.unwrap_or(1.0),
        rules: Rules {
            cold_from: contract.cold_from,
            cold_span: Span(contract.cold_ns),
            fall_multiple: contract.fall_multiple,
            fall_span: Span(contract.fall_ns),
            ration: (info.load_span_ns > 0).then_some(Ration {
                free: info.loads_anyway,
                share: info.load_part,
                span: Span(info.load_span_ns),
            }),
        },
        limits: Limits {
            max_attempts: bounds.most_tries,
            may_cancel: bounds.may_cancel,
            may_order: info.may_order,
            retry_after: bounds.retry_after.then_some(Span(bounds.max_retry_after_ns)),
        },
        loading: Loading {
            keep: Span(info.keep_ns),
            on_miss: match info.not_loaded.as_str() {
                "load" => OnMiss::Load,
                "miss" => OnMiss::Miss,
                other => return Err(format!("settings: familyInfo.notLoaded is '{other}'")),
            },
            memory_mb: info.memory_mb_by_kind,
        },
        prices: Prices {
            idle: info.price_of_idle,
            fetch: text.prices.origin,
            cross_zone: text.prices.cross_zone,
            waste: text.prices.waste,
            probe: text.prices.probe,
        },
        gauges: text.load_info.names.iter().map(|name| gauge(name)).collect(),
        tells_company: info.says_company,
        discovery: match text.discovery.as_str() {
            "on_request" => Discovery::OnRequest,
            _ => Discovery::Pushed,
        },
        weights_are_sizes: matches!(text.weight_source.as_str(), "nominal" | "rough"),
    })
}

fn read_class(number: usize, class: &ClassText) -> Result<Class, String> {
    let missing = |what: &str| format!("settings: classes[{number}] lacks {what}");
    let effect = match class.effect.as_str() {
        "retryable" => Effect::Safe,
        "fragile" => Effect::Unsafe,
        "dedup" => Effect::Keyed {
            group: match class.group.as_deref().ok_or_else(|| missing("group"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("settings: classes[{number}].group is '{other}'")),
            },
            window: Span(class.repeat_window_ns.ok_or_else(|| missing("repeatWindowNs"))?),
        },
        other => return Err(format!("settings: classes[{number}].effect is '{other}'")),
    };
    Ok(Class {
        aim: Span(class.objective_ns),
        deadline: Span(class.deadline_ns),
        worth: class.worth.unwrap_or(1.0),
        late_share: class.late_share,
        effect,
    })
}

fn gauge(name: &str) -> Gauge {
    match name {
        "busy_reqs" => Gauge::InFlight,
        "pending" => Gauge::Queue,
        "cpu_share" => Gauge::Busy,
        "x1" => Gauge::Loads,
        "x0" => Gauge::PinnedMemory,
        _ => Gauge::Other,
    }
}
