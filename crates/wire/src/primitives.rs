//! Length-prefixed building blocks of messages.

use binrw::binrw;

/// UTF-8 text of at most 65,535 bytes.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Text {
    #[br(temp)]
    #[bw(try_calc = u16::try_from(value.len()))]
    length: u16,
    #[br(count = length, try_map = String::from_utf8)]
    #[bw(map = |text: &String| text.as_bytes().to_vec())]
    value: String,
}

impl Text {
    /// Wraps text.
    pub fn new(text: impl Into<String>) -> Self {
        Self { value: text.into() }
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.value
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

/// Opaque bytes, encoded by a higher layer.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob {
    #[br(temp)]
    #[bw(try_calc = u32::try_from(bytes.len()))]
    length: u32,
    /// The bytes.
    #[br(count = length)]
    pub bytes: Vec<u8>,
}

impl Blob {
    /// Wraps bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self { bytes }
    }
}

impl<T> Default for List<T>
where
    T: for<'a> binrw::BinRead<Args<'a> = ()> + for<'a> binrw::BinWrite<Args<'a> = ()> + 'static,
{
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

/// Items of one type with their count in front.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List<T>
where
    T: for<'a> binrw::BinRead<Args<'a> = ()> + for<'a> binrw::BinWrite<Args<'a> = ()> + 'static,
{
    #[br(temp)]
    #[bw(try_calc = u32::try_from(items.len()))]
    count: u32,
    /// The items.
    #[br(count = count)]
    pub items: Vec<T>,
}

impl<T> List<T>
where
    T: for<'a> binrw::BinRead<Args<'a> = ()> + for<'a> binrw::BinWrite<Args<'a> = ()> + 'static,
{
    /// Wraps items.
    pub fn new(items: Vec<T>) -> Self {
        Self { items }
    }
}
