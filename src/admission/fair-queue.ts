/** An item of a {@link FairQueue}. */
export interface QueuedItem<T> {
  readonly value: T;
  readonly flow: string;
  /** Cost in the unit of the queue, such as tokens. */
  readonly cost: number;
  /** Time from which the item is dropped instead of served, in epoch milliseconds. */
  readonly startByMs: number;
}

interface TaggedItem<T> extends QueuedItem<T> {
  readonly startTag: number;
}

interface Flow<T> {
  weight: number;
  /** Virtual finish time of the newest item. */
  finishTag: number;
  queuedCost: number;
  readonly items: TaggedItem<T>[];
}

/**
 * Queue that serves flows in proportion to their weights by start-time fair queueing: a flow with
 * little traffic is served promptly, a flow with much traffic waits behind its own items only.
 *
 * @example
 * ```ts
 * const queue = new FairQueue<string>();
 * queue.push({ value: 'a', flow: 'tejidos/quotes', cost: 300, startByMs: nowMs + 2_000 }, 1);
 * queue.shift(nowMs)?.value; // 'a'
 * ```
 */
export class FairQueue<T> {
  readonly #flows = new Map<string, Flow<T>>();
  #virtualTime = 0;
  #length = 0;
  #queuedCost = 0;

  get length(): number {
    return this.#length;
  }

  /** Sum of the costs of all queued items. */
  get queuedCost(): number {
    return this.#queuedCost;
  }

  /** Appends an item to its flow. @param weight - the flow's share relative to other flows. */
  push(item: QueuedItem<T>, weight: number): void {
    let flow = this.#flows.get(item.flow);
    if (!flow) {
      flow = { weight, finishTag: 0, queuedCost: 0, items: [] };
      this.#flows.set(item.flow, flow);
    }
    flow.weight = weight;
    const startTag = Math.max(this.#virtualTime, flow.finishTag);
    flow.finishTag = startTag + item.cost / weight;
    flow.items.push({ ...item, startTag });
    flow.queuedCost += item.cost;
    this.#queuedCost += item.cost;
    this.#length += 1;
  }

  /** Removes and returns the next item in fair order; drops items whose `startByMs` has passed. */
  shift(nowMs: number): QueuedItem<T> | undefined {
    for (;;) {
      let next: Flow<T> | undefined;
      let nextTag = Infinity;
      for (const flow of this.#flows.values()) {
        const tag = flow.items[0]?.startTag;
        if (tag !== undefined && tag < nextTag) {
          next = flow;
          nextTag = tag;
        }
      }
      const item = next?.items.shift();
      if (!next || !item) return undefined;
      if (item.startByMs > nowMs) this.#virtualTime = item.startTag;
      this.#afterRemoval(item, next);
      if (item.startByMs > nowMs) return item;
    }
  }

  /** Removes a value, for example when its caller disconnects; false when it is not queued. */
  remove(flowName: string, value: T): boolean {
    const flow = this.#flows.get(flowName);
    const index = flow?.items.findIndex((item) => item.value === value) ?? -1;
    const item = flow?.items[index];
    if (!flow || !item) return false;
    flow.items.splice(index, 1);
    this.#afterRemoval(item, flow);
    return true;
  }

  /**
   * Cost that would be served before a new item of the flow: the flow's own backlog and the shares
   * of the other flows during that time. A flow without a backlog is served next.
   */
  costAhead(flowName: string, weight: number): number {
    const own = this.#flows.get(flowName);
    const ownCost = own?.queuedCost ?? 0;
    let otherCost = 0;
    for (const [name, flow] of this.#flows) {
      if (name === flowName) continue;
      otherCost += Math.min(flow.queuedCost, (ownCost / weight) * flow.weight);
    }
    return ownCost + otherCost;
  }

  #afterRemoval(item: QueuedItem<T>, flow: Flow<T>): void {
    flow.queuedCost -= item.cost;
    this.#queuedCost -= item.cost;
    this.#length -= 1;
    // Idle flows are removed, so that `shift` scans active flows only. A flow that has used more
    // than its share keeps its finish tag until virtual time reaches it or the queue is empty.
    if (this.#length === 0) {
      this.#flows.clear();
      this.#virtualTime = 0;
    } else if (flow.items.length === 0 && flow.finishTag <= this.#virtualTime) {
      this.#flows.delete(item.flow);
    }
  }
}
