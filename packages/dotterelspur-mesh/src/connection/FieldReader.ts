const MAX_TEXT_LENGTH = 512

/**
 * Reads and validates the fields of a decoded frame in order, and records the first invalid one. It returns neutral
 * values for invalid fields; the caller checks `fault` once all fields are read and then drops the whole frame. Bytes
 * from the network thus never cause an exception here and never reach a state machine unchecked.
 */
export class FieldReader {
  private position = 0
  private firstFault: string | undefined

  constructor (private readonly fields: readonly unknown[], private readonly maxEntries: number) {}

  get fault (): string | undefined {
    return this.firstFault
  }

  /** A safe integer of at least `minimum`. */
  integer (name: string, minimum = 0): number {
    const value = this.next()
    if (typeof value === 'number' && Number.isSafeInteger(value) && value >= minimum) return value
    return this.fail(name, 'an integer', 0)
  }

  number (name: string): number {
    const value = this.next()
    return typeof value === 'number' && Number.isFinite(value) ? value : this.fail(name, 'a finite number', 0)
  }

  text (name: string): string {
    const value = this.next()
    return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH ? value : this.fail(name, 'a short text', '')
  }

  flag (name: string): boolean {
    const value = this.next()
    return typeof value === 'boolean' ? value : this.fail(name, 'a boolean', false)
  }

  /** A value of any type; the code that uses it must validate it. */
  any (): unknown {
    return this.next()
  }

  /** One of an enum's values. */
  oneOf<Value extends string | number> (name: string, values: readonly Value[]): Value {
    const value = this.next() as Value
    return values.includes(value) ? value : this.fail(name, 'a known value', values[0]!)
  }

  /** A list; `read` is called for each item with a separate reader. */
  list<Item> (name: string, read: (item: FieldReader) => Item): Item[] {
    const value = this.next()
    if (!Array.isArray(value) || value.length > this.maxEntries) return this.fail(name, 'a bounded list', [])
    return value.map((item: unknown) => this.nested(name, item, read))
  }

  /** A value that is itself a list of fields. */
  nestedFields<Item> (name: string, read: (item: FieldReader) => Item): Item {
    return this.nested(name, this.next(), read)
  }

  private nested<Item> (name: string, value: unknown, read: (item: FieldReader) => Item): Item {
    const reader = new FieldReader(Array.isArray(value) ? value as unknown[] : [value], this.maxEntries)
    const item = read(reader)
    if (reader.fault !== undefined) this.firstFault ??= `${name}: ${reader.fault}`
    return item
  }

  private next (): unknown {
    const value = this.fields[this.position]
    this.position += 1
    return value
  }

  private fail<Value> (name: string, expected: string, neutral: Value): Value {
    this.firstFault ??= `${name} is not ${expected}`
    return neutral
  }
}
