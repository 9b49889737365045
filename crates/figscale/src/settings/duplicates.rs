//! Deserializer that checks JSON for duplicate names and discards the values.

use std::fmt;

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Deserializer;
use serde::de;

/// Any JSON value in which no object contains a name twice.
pub(super) struct UniqueNames;

impl<'de> Deserialize<'de> for UniqueNames {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(UniqueNamesVisitor)
    }
}

struct UniqueNamesVisitor;

impl<'de> de::Visitor<'de> for UniqueNamesVisitor {
    type Value = UniqueNames;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_bool<E>(self, _: bool) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_i64<E>(self, _: i64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_u64<E>(self, _: u64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_f64<E>(self, _: f64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_str<E>(self, _: &str) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_unit<E>(self) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut input: A) -> Result<UniqueNames, A::Error> {
        while input.next_element::<UniqueNames>()?.is_some() {}
        Ok(UniqueNames)
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut input: A) -> Result<UniqueNames, A::Error> {
        let mut names = IndexSet::new();
        while let Some(name) = input.next_key::<String>()? {
            if names.contains(&name) {
                let text = format!("duplicate field `{name}`");
                return Err(de::Error::custom(text));
            }
            input.next_value::<UniqueNames>()?;
            names.insert(name);
        }
        Ok(UniqueNames)
    }
}
