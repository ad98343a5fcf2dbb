/** Takes the data of server-sent events out of a stream of text. */
export class EventReader {
  private rest = '';

  /** Takes text; returns the data of each event that is complete. */
  push(text: string): string[] {
    this.rest += text;
    const events = this.rest.split('\n\n');
    this.rest = events.pop() ?? '';
    return events.map(dataOf).filter(data => data.length > 0);
  }
}

function dataOf(event: string): string {
  return event
    .split('\n')
    .filter(line => line.startsWith('data:'))
    .map(line => line.slice('data:'.length).trimStart())
    .join('\n');
}
