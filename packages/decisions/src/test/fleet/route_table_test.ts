/** Lookup of routes, order of versions, grants, and choice by weight. */
import {expect} from 'chai';
import {
  pickService,
  RouteKind,
  RouteTable,
} from '../../lib/fleet/route_table.js';
import type {Route, RoutingConfiguration} from '../../lib/fleet/route_table.js';

function route(prefix: string, host = 'desk.example'): Route {
  return {
    name: prefix,
    host,
    pathPrefix: prefix,
    kind: RouteKind.Idempotent,
    timeout: 1_000,
    latencyTarget: 100,
    priority: 0,
    targets: [{service: 'desk', weight: 1}],
    maxUpstreams: 1,
    isPublic: false,
    resumable: false,
    maxEventGap: 0,
    homes: [],
  };
}

function configuration(
  version: number,
  granted: number,
  routes = [route('/a/'), route('/a/b/')],
): RoutingConfiguration {
  return {
    version,
    routes,
    services: [],
    accounts: [
      {
        name: 'club',
        apiKeys: ['k'],
        priority: undefined,
        grantedTokens: granted,
        homes: [],
      },
    ],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  };
}

describe('route table', () => {
  const paths = [
    {path: '/a/x', host: 'desk.example', prefix: '/a/'},
    {path: '/a/b/x', host: 'desk.example', prefix: '/a/b/'},
    {path: '/a', host: 'desk.example', prefix: undefined},
    {path: '/ab/', host: 'desk.example', prefix: undefined},
    {path: '/a/x', host: 'other.example', prefix: undefined},
  ];
  for (const {path, host, prefix} of paths) {
    it(`route of ${host}${path}: ${prefix ?? 'no route'}`, () => {
      const table = new RouteTable();
      table.apply(configuration(1, 10));
      expect(table.findRoute(host, path)?.pathPrefix).to.equal(prefix);
    });
  }

  const versions = [
    {
      name: 'newer version, smaller grant',
      version: 3,
      applied: true,
      grant: 5,
      expected: 10,
    },
    {name: 'same version', version: 2, applied: false, grant: 50, expected: 10},
    {
      name: 'older version',
      version: 1,
      applied: false,
      grant: 50,
      expected: 10,
    },
    {
      name: 'newer version, larger grant',
      version: 9,
      applied: true,
      grant: 50,
      expected: 50,
    },
  ];
  for (const {name, version, applied, grant, expected} of versions) {
    it(`${name}: ${applied ? 'applied' : 'ignored'}`, () => {
      const table = new RouteTable();
      table.apply(configuration(2, 10));
      expect(table.apply(configuration(version, grant))).to.equal(applied);
      expect(table.grantedTokens('club')).to.equal(expected);
    });
  }

  it('picks services in proportion to their weights', () => {
    const split = {
      ...route('/a/'),
      targets: [
        {service: 'one', weight: 90},
        {service: 'two', weight: 10},
      ],
    };
    expect(pickService(split, 0)).to.equal('one');
    expect(pickService(split, 0.89)).to.equal('one');
    expect(pickService(split, 0.91)).to.equal('two');
    expect(pickService(split, 0.9999)).to.equal('two');
  });
});
