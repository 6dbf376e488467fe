//! Quotas of client accounts, kept by all hosts together without a coordinator.

pub mod quota_bucket;
pub mod quota_grant;
pub mod quota_hosts;
pub mod quota_ledger;
