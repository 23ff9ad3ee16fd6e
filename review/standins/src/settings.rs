//! Configurations of a small deployment, with the figures of the first site's example.

use std::net::SocketAddr;

/// A class: name, effect with its further keys, objective in milliseconds.
pub struct Class(pub &'static str, pub &'static str, pub u64);

pub const SAFE: &str = r#""effect":"retryable","group":"all","repeatWindowNs":5000000000"#;
pub const KEYED: &str = r#""effect":"dedup","group":"all","repeatWindowNs":6000000000"#;
pub const FRAGILE: &str = r#""effect":"fragile","group":"all","repeatWindowNs":5000000000"#;

/// The configuration of a scheduler.
pub fn config(name: &str, fleet: (u32, u32), classes: &[Class], listed: &[String], bus: Option<SocketAddr>) -> String {
    let class = |Class(name, effect, objective): &Class| {
        format!(
            r#"{{"name":"{name}","deadlineNs":3000000000,"objectiveNs":{objective}000000,"lateShare":0.1,"streamed":false,"worth":1.0,{effect}}}"#
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    let bus = bus.map_or(String::new(), |bus| format!(r#""bus":"{bus}","#));
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:0","mgmt":"127.0.0.1:0","seed":"8c1f30d27a5be964",{bus}
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"rev":1,"all":true,"targets":[{}]}}}}]}},
"settings":{{"accounts":[],"fleetSize":{},"index":{},"tier":0,"zone":0,"tickNs":2000000,"zones":["bldg-a"],"kinds":["std-5c"],
"classes":[{}],"clients":{{"marksRetry":true}},"discovery":"pushed","family":"warm","worthBy":"request","weightSource":"rough",
"bounds":{{"mostTries":3,"mayCancel":true,"probes":true,"secondCopies":true,"peers":false,"retryAfter":true,
"maxRetryAfterNs":500000000,"multiplex":100,"maxOpen":20000,"idleCloseNs":15000000000,"connectTimeoutNs":250000000}},
"contract":{{"coldFrom":0.15,"coldNs":15000000000,"drainGraceNs":2000000000,"fallMultiple":3.0,"fallNs":2000000000,"graceToAnswerNs":8000000}},
"familyInfo":{{"keepNs":8700000000,"notLoaded":"load","mayOrder":true,"loadSpanNs":5000000000,"loadsAnyway":3.0,"loadPart":0.3,
"loadWaitNs":10000000000,"memoryMbByKind":[18432.0],"priceOfIdle":0.15,"saysCompany":false,"warmNotes":false}},
"loadInfo":{{"how":"probe","names":["cpu_share","x0","x1"]}},
"prices":{{"crossZone":0.0094,"lateFail":0.051,"origin":0.1,"probe":0.01,"waste":0.03}}}}}}"#,
        listed.join(","),
        fleet.0,
        fleet.1,
        classes.join(",")
    )
}
