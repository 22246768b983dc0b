//! Length-prefixed types that messages are built from.

use binrw::binrw;

/// UTF-8 text of at most 65,535 bytes, with a 16-bit length. Encoding longer text fails.
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
    /// Creates a text. The length is checked only when it is encoded.
    pub fn new(text: impl Into<String>) -> Self {
        Self { value: text.into() }
    }

    /// The text as a string slice.
    pub fn as_str(&self) -> &str {
        &self.value
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

/// Opaque bytes with a 32-bit length. The layer above defines their encoding.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob {
    #[br(temp)]
    #[bw(try_calc = u32::try_from(bytes.len()))]
    length: u32,
    /// The content, without the length.
    #[br(count = length)]
    pub bytes: Vec<u8>,
}

impl Blob {
    /// Creates a blob from encoded bytes.
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

/// Items of one type, preceded by their 32-bit count.
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
    /// The items, in order.
    #[br(count = count)]
    pub items: Vec<T>,
}

impl<T> List<T>
where
    T: for<'a> binrw::BinRead<Args<'a> = ()> + for<'a> binrw::BinWrite<Args<'a> = ()> + 'static,
{
    /// Creates a list in the given order.
    pub fn new(items: Vec<T>) -> Self {
        Self { items }
    }
}
