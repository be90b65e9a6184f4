package conversations

import "container/list"

// cache holds turns up to a number of bytes. If it is full, the workspace that holds most gives
// up the turn that it used least recently. Its zero value is empty.
type cache struct {
	turns      map[id]*list.Element // of *cachedTurn
	workspaces map[string]*cachedWorkspace
	bytes      int64
}

type cachedTurn struct {
	id        id
	workspace string
	turn      *turn
}

type cachedWorkspace struct {
	recent list.List // of *cachedTurn, the most recently used first
	bytes  int64
}

// get returns a turn, or nil.
func (c *cache) get(i id) *turn {
	e := c.turns[i]
	if e == nil {
		return nil
	}
	cached := e.Value.(*cachedTurn)
	c.workspaces[cached.workspace].recent.MoveToFront(e)
	return cached.turn
}

// put adds a turn, or replaces it.
func (c *cache) put(workspace string, i id, t *turn, maxBytes int64) {
	if t.size() > maxBytes {
		return
	}
	if e := c.turns[i]; e != nil {
		c.remove(e)
	}
	if c.turns == nil {
		c.turns, c.workspaces = make(map[id]*list.Element), make(map[string]*cachedWorkspace)
	}
	w := c.workspaces[workspace]
	if w == nil {
		w = &cachedWorkspace{}
		c.workspaces[workspace] = w
	}
	c.turns[i] = w.recent.PushFront(&cachedTurn{i, workspace, t})
	w.bytes += t.size()
	c.bytes += t.size()
	for c.bytes > maxBytes {
		c.evict()
	}
}

// evict removes the least recently used turn of the workspace that holds most.
func (c *cache) evict() {
	var largest *cachedWorkspace
	for _, w := range c.workspaces {
		if largest == nil || w.bytes > largest.bytes {
			largest = w
		}
	}
	c.remove(largest.recent.Back())
}

func (c *cache) remove(e *list.Element) {
	cached := e.Value.(*cachedTurn)
	w := c.workspaces[cached.workspace]
	w.recent.Remove(e)
	delete(c.turns, cached.id)
	w.bytes -= cached.turn.size()
	c.bytes -= cached.turn.size()
	if w.recent.Len() == 0 {
		delete(c.workspaces, cached.workspace)
	}
}
