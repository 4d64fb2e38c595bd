package decide

// heap is a binary heap that reports to each element its position, so that any element can be moved
// or removed in logarithmic time.
type heap[E any] struct {
	items []E
	less  func(a, b E) bool
	moved func(e E, i int)
}

func (h *heap[E]) len() int { return len(h.items) }

func (h *heap[E]) first() (E, bool) {
	if len(h.items) == 0 {
		var none E
		return none, false
	}
	return h.items[0], true
}

func (h *heap[E]) push(e E) {
	h.items = append(h.items, e)
	h.moved(e, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// remove removes the element at position i.
func (h *heap[E]) remove(i int) {
	last := len(h.items) - 1
	removed := h.items[i]
	h.swap(i, last)
	var none E
	h.items[last] = none
	h.items = h.items[:last]
	h.moved(removed, -1)
	if i < last {
		h.fix(i)
	}
}

// fix restores the heap order after the key of the element at position i changed.
func (h *heap[E]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[E]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *heap[E]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}
