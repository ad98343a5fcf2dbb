/** Parses server-sent events from text that arrives in chunks. */
export class EventReader {
  private buffered = '';

  /** Appends a chunk; returns the data of each event that it completes. */
  push(chunk: string): string[] {
    this.buffered += chunk;
    const events = this.buffered.split('\n\n');
    this.buffered = events.pop() ?? '';
    return events.map(eventData).filter(data => data.length > 0);
  }
}

function eventData(event: string): string {
  return event
    .split('\n')
    .filter(line => line.startsWith('data:'))
    .map(line => line.slice('data:'.length).trimStart())
    .join('\n');
}
