//! Parses the settings, which are JSON, into the library's types.

mod error;
mod site;
mod text;

pub use error::SettingsError;
pub use site::Site;

use crate::interface::*;
use serde::Deserialize;
use text::{BoundsText, ClassText, ContractText, FamilyInfoText, PricesText, SettingsText};

/// Parses the settings of the policy.
///
/// # Errors
/// [`SettingsError`] names what is missing or invalid.
pub fn read(text: &[u8]) -> Result<Settings, SettingsError> {
    read_site(text).map(|site| site.settings)
}

/// Parses the settings of the policy and those of the sockets.
///
/// # Errors
/// [`SettingsError`] names what is missing or invalid.
pub fn read_site(text: &[u8]) -> Result<Site, SettingsError> {
    site(serde_json::from_slice(text).map_err(SettingsError::Malformed)?)
}

/// Like [`read_site`], from a JSON value.
///
/// # Errors
/// [`SettingsError`] names what is missing or invalid.
pub fn read_site_value(settings: &serde_json::Value) -> Result<Site, SettingsError> {
    site(SettingsText::deserialize(settings).map_err(SettingsError::Malformed)?)
}

fn site(text: SettingsText) -> Result<Site, SettingsError> {
    Ok(Site {
        settings: settings(&text)?,
        classes: text.classes.into_iter().map(|class| Some(class.name)).collect(),
        zones: text.zones,
        kinds: text.kinds,
        gauges: text.load_info.names,
        multiplex: text.bounds.multiplex.max(1),
        max_open: text.bounds.max_open,
        idle_close: Duration(text.bounds.idle_close_ns),
        connect_limit: Duration(text.bounds.connect_timeout_ns),
        load_wait: Duration(text.family_info.load_wait_ns),
        peers: text.bounds.peers,
    })
}

fn settings(text: &SettingsText) -> Result<Settings, SettingsError> {
    let max_attempts = text.bounds.most_tries;
    let classes =
        text.classes.iter().enumerate().map(|(index, class)| read_class(index, class, max_attempts));
    let tenants = text.accounts.iter().map(|account| Tenant { allowance_per_s: account.allowance_per_s });
    Ok(Settings {
        fleet_size: text.fleet_size,
        index: text.index,
        zone: ZoneId(text.zone),
        tick: Duration(text.tick_ns),
        classes: classes.collect::<Result<_, _>>()?,
        tenants: tenants.collect(),
        over_share_weight: text.over_share_worth.unwrap_or(1.0),
        rules: rules(&text.contract, &text.family_info),
        limits: limits(&text.bounds, &text.family_info),
        loading: loading(&text.family_info)?,
        prices: prices(&text.prices, &text.family_info),
        gauges: text.load_info.names.iter().map(|name| gauge(name)).collect(),
        tells_company: text.family_info.says_company,
        discovery: match text.discovery.as_str() {
            "on_request" => Discovery::OnRequest,
            _ => Discovery::Pushed,
        },
        weights_are_sizes: matches!(text.weight_source.as_str(), "nominal" | "rough"),
    })
}

fn rules(contract: &ContractText, info: &FamilyInfoText) -> Rules {
    let limit =
        LoadRateLimit { free: info.loads_anyway, share: info.load_part, span: Duration(info.load_span_ns) };
    Rules {
        cold_from: contract.cold_from,
        cold_span: Duration(contract.cold_ns),
        fall_multiple: contract.fall_multiple,
        fall_span: Duration(contract.fall_ns),
        drain_grace: Duration(contract.drain_grace_ns),
        load_rate_limit: (info.load_span_ns > 0).then_some(limit),
    }
}

fn limits(bounds: &BoundsText, info: &FamilyInfoText) -> Limits {
    Limits {
        may_cancel: bounds.may_cancel,
        may_probe: bounds.probes,
        may_load: info.may_order,
        retry_after: bounds.retry_after.then_some(Duration(bounds.max_retry_after_ns)),
    }
}

fn loading(info: &FamilyInfoText) -> Result<Loading, SettingsError> {
    let on_miss = match info.not_loaded.as_str() {
        "load" => OnMiss::Load,
        "miss" => OnMiss::Miss,
        other => return Err(SettingsError::OnMiss(other.to_owned())),
    };
    Ok(Loading { keep_alive: Duration(info.keep_ns), on_miss, memory_mb: info.memory_mb_by_kind.clone() })
}

fn prices(prices: &PricesText, info: &FamilyInfoText) -> Prices {
    Prices {
        idle: info.price_of_idle,
        fetch: prices.origin,
        cross_zone: prices.cross_zone,
        waste: prices.waste,
        probe: prices.probe,
    }
}

fn read_class(number: usize, class: &ClassText, max_attempts: u16) -> Result<Class, SettingsError> {
    let missing = |key| SettingsError::MissingClassKey { class: number, key };
    let unknown =
        |key, value: &str| SettingsError::UnknownClassValue { class: number, key, value: value.to_owned() };
    let effect = match class.effect.as_str() {
        "retryable" => Effect::Safe,
        "fragile" => Effect::Unsafe,
        "dedup" => Effect::Keyed {
            group: match class.group.as_deref().ok_or_else(|| missing("group"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(unknown("group", other)),
            },
            window: Duration(class.repeat_window_ns.ok_or_else(|| missing("repeatWindowNs"))?),
        },
        other => return Err(unknown("effect", other)),
    };
    Ok(Class {
        latency_objective: Duration(class.objective_ns),
        deadline: Duration(class.deadline_ns),
        priority_weight: class.worth.unwrap_or(1.0),
        late_value: class.late_share,
        effect,
        max_attempts,
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

#[cfg(test)]
mod tests;
