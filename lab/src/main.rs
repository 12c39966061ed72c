mod r#gen;
fn main() { let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(".."); std::fs::write(root.join("src/schema/generated.rs"), r#gen::generate(&root).unwrap()).unwrap(); }
