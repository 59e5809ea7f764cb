package back

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"lovagestream/io/order"
)

// ReceivedOrder is one order that an engine received.
type ReceivedOrder struct {
	Order   order.Body `json:"order"`
	Refused bool       `json:"refused"`
}

// OrderReceiver receives an engine's load and unload orders and tracks its models.
// It is safe for concurrent use.
type OrderReceiver struct {
	mu sync.Mutex
	// fenced makes the engine refuse a fencing token below the highest seen.
	fenced       bool
	loadTime     time.Duration
	capacity     int
	highestToken uint64
	loaded       []string
	loading      string
	loadedAt     time.Time
	journal      []ReceivedOrder
}

// NewOrderReceiver returns the receiver of an engine that has loaded models and has
// capacity for so many. A load takes loadTime; fenced engines check fencing
// tokens.
func NewOrderReceiver(fenced bool, loadTime time.Duration, capacity int, models ...string) *OrderReceiver {
	return &OrderReceiver{fenced: fenced, loadTime: loadTime, capacity: capacity, loaded: models}
}

// Register adds the handlers of orders and placement to a mux.
func (orc *OrderReceiver) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+order.PathOrders, orc.order)
	mux.HandleFunc("GET "+order.PathPlacement, orc.placement)
}

// Journal returns a copy of all orders received.
func (orc *OrderReceiver) Journal() []ReceivedOrder {
	orc.mu.Lock()
	defer orc.mu.Unlock()
	return append([]ReceivedOrder(nil), orc.journal...)
}

// LoadedModels returns the models that are loaded, without one that still loads.
func (orc *OrderReceiver) LoadedModels() []string {
	orc.mu.Lock()
	defer orc.mu.Unlock()
	orc.finishLoad(time.Now())
	return append([]string{}, orc.loaded...)
}

func (orc *OrderReceiver) finishLoad(now time.Time) {
	if orc.loading != "" && !now.Before(orc.loadedAt) {
		orc.loaded = append(orc.loaded, orc.loading)
		orc.loading = ""
	}
}

func (orc *OrderReceiver) order(wri http.ResponseWriter, hrq *http.Request) {
	var bod order.Body
	if json.NewDecoder(hrq.Body).Decode(&bod) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	orc.mu.Lock()
	defer orc.mu.Unlock()
	now := time.Now()
	orc.finishLoad(now)
	refused := orc.fenced && bod.Fencing < orc.highestToken
	orc.journal = append(orc.journal, ReceivedOrder{Order: bod, Refused: refused})
	if refused {
		wri.WriteHeader(http.StatusConflict)
		return
	}
	orc.highestToken = max(orc.highestToken, bod.Fencing)
	orc.execute(now, bod)
}

func (orc *OrderReceiver) execute(now time.Time, bod order.Body) {
	at := -1
	for i, mod := range orc.loaded {
		if mod == bod.Model {
			at = i
		}
	}
	switch {
	case bod.Kind == "unload" && at >= 0:
		orc.loaded = append(orc.loaded[:at:at], orc.loaded[at+1:]...)
	case bod.Kind == "load" && at < 0 && orc.loading == "" && len(orc.loaded) < orc.capacity:
		orc.loading, orc.loadedAt = bod.Model, now.Add(orc.loadTime)
	}
}

func (orc *OrderReceiver) placement(wri http.ResponseWriter, _ *http.Request) {
	orc.mu.Lock()
	defer orc.mu.Unlock()
	orc.finishLoad(time.Now())
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(order.PlacementBody{Models: append([]string{}, orc.loaded...), Loading: orc.loading, Capacity: orc.capacity, Fencing: orc.highestToken})
}
