/** Events of a stream, however their bytes are divided into chunks. */
import {expect} from 'chai';
import {EventReader} from '../../lib/requests/event_reader.js';

const STREAM =
  'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\n\nid: 3\n\ndata';

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n', ': c\n\n'];

describe('the reader of events', () => {
  for (let size = 1; size <= STREAM.length; size++) {
    it(`finds all events in chunks of ${size} bytes`, () => {
      const reader = new EventReader();
      const events = [];
      for (let start = 0; start < STREAM.length; start += size) {
        const chunk = Buffer.from(STREAM.slice(start, start + size));
        events.push(...reader.push(chunk));
      }
      const texts = events.map(({bytes}) => bytes.toString());
      expect(texts).to.deep.equal([...EVENTS, '\nid: 3\n\n']);
      const ids = events.map(({id}) => id);
      expect(ids).to.deep.equal(['1', '2', undefined, '3']);
      const comments = events.map(({isComment}) => isComment);
      expect(comments).to.deep.equal([false, false, true, false]);
      expect(reader.pendingBytes()).to.equal('data'.length);
    });
  }
});
