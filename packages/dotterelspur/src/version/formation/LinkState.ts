/** Whether connections to an endpoint are accepted, whatever is answered on them. */
export enum LinkState {
  /** The endpoint accepts this node's connections. */
  Connects = 'connects',
  /** Only other nodes connect to it: this node's link is at fault. */
  LinkAtFault = 'link-at-fault',
  /** Neither this node nor others that were asked connect to it. */
  Unconnected = 'unconnected'
}
