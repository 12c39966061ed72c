//! Measurements of the policy under load and faults, against baselines in the same run.

pub mod control;
pub mod field;
pub mod load;
pub mod overload;
pub mod recovery;
pub mod report;
pub mod routes;

use serde_json::{Value, json};

use crate::fleet::{Fleet, Size};

/// Whose deployment is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deployment {
    /// Three failure domains, resume latency weighs more.
    Lundavik,
    /// Four failure domains, extra work weighs more.
    SahelRide,
}

impl Deployment {
    /// Reads a deployment's name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "lundavik" => Some(Self::Lundavik),
            "sahel-ride" => Some(Self::SahelRide),
            _ => None,
        }
    }

    /// Its fleet at today's size.
    ///
    /// # Errors
    ///
    /// That there are no free ports.
    pub fn fleet(self, slots: u32) -> Result<Fleet, String> {
        let (domains, boxes, services, weights): (&[&str], _, _, _) = match self {
            Self::Lundavik => (
                &["hafnar-hall", "hraun-hall", "heidi-hall"],
                2,
                3,
                (10.0, 1.0),
            ),
            Self::SahelRide => (
                &["lac", "charguia", "ariana", "ben-arous"],
                2,
                4,
                (1.0, 5.0),
            ),
        };
        let size = Size {
            domains: domains.iter().map(ToString::to_string).collect(),
            boxes,
            engines: 24,
            slots,
            services,
        };
        let mut fleet = Fleet::plan(&size).map_err(|e| e.to_string())?;
        fleet.weights = weights;
        Ok(fleet)
    }
}

/// What is to be measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The suite.
    pub suite: String,
    /// Whose deployment.
    pub deployment: Deployment,
    /// The seed of everything random.
    pub seed: u64,
    /// Seconds of load for each policy.
    pub seconds: u64,
    /// Where the plot goes.
    pub svg: Option<String>,
}

/// Runs a suite and returns its figures.
///
/// # Errors
///
/// Says what could not be measured.
pub async fn run(options: &Options) -> Result<Value, String> {
    let rows = match options.suite.as_str() {
        "recovery" => recovery::run(options).await?,
        "routing" => routes::run(options).await?,
        "overload" => overload::run(options).await?,
        "control" => control::run(options).await?,
        other => {
            return Err(format!(
                "no suite {other:?}; use recovery, routing, overload or control"
            ));
        }
    };
    Ok(json!({
        "suite": options.suite,
        "deployment": format!("{:?}", options.deployment),
        "seed": options.seed,
        "seconds": options.seconds,
        "rows": rows,
    }))
}
