package engineserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/gorilla/mux"
)

const maxBodyBytes = 8 << 20

// Handler returns the rank's HTTP API described in docs/INTERFACES.md.
func (rank *Rank) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/faults", rank.handleFaults).Methods(http.MethodPost)
	router.HandleFunc("/log/steps", func(writer http.ResponseWriter, _ *http.Request) {
		listener.WriteJSON(writer, http.StatusOK, rank.group.StepLog())
	}).Methods(http.MethodGet)
	router.HandleFunc("/log/executions", func(writer http.ResponseWriter, _ *http.Request) {
		listener.WriteJSON(writer, http.StatusOK, rank.Executions())
	}).Methods(http.MethodGet)
	router.HandleFunc("/phase/{phase}", func(writer http.ResponseWriter, request *http.Request) {
		phase, _ := strconv.ParseFloat(mux.Vars(request)["phase"], 64)
		rank.group.SetPhase(phase)
	}).Methods(http.MethodPost)
	api := router.PathPrefix("/v1").Subrouter()
	api.Use(rank.refuseWhenDead)
	api.HandleFunc("/generate", rank.handleGenerate).Methods(http.MethodPost)
	api.HandleFunc("/streams/{id}", rank.handleResume).Methods(http.MethodGet)
	api.HandleFunc("/streams/{id}", rank.handleCancel).Methods(http.MethodDelete)
	api.HandleFunc("/load", rank.handleLoad).Methods(http.MethodGet)
	api.HandleFunc("/events", rank.handleEvents).Methods(http.MethodGet)
	api.HandleFunc("/rank", func(writer http.ResponseWriter, _ *http.Request) {
		listener.WriteJSON(writer, http.StatusOK, rank.State())
	}).Methods(http.MethodGet)
	api.HandleFunc("/maps/{version}", rank.handleMap).Methods(http.MethodGet)
	api.HandleFunc("/orders", rank.handleOrder).Methods(http.MethodPost)
	api.HandleFunc("/cache/{id}", rank.handleExport).Methods(http.MethodGet)
	api.HandleFunc("/cache", rank.handleImport).Methods(http.MethodPost)
	return router
}

func (rank *Rank) refuseWhenDead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		rank.group.mutex.Lock()
		dead := rank.faults.Dead
		rank.group.mutex.Unlock()
		if dead {
			faulter.CloseConnection(writer)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (rank *Rank) handleFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &faults); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	rank.SetFaults(faults)
	listener.WriteJSON(writer, http.StatusOK, faults)
}

func (rank *Rank) handleGenerate(writer http.ResponseWriter, request *http.Request) {
	var generateRequest cranberryward.GenerateRequest
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &generateRequest); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	stream, err := rank.enqueue(generateRequest)
	if err != nil {
		listener.WriteError(writer, generateRequest.RequestID, err)
		return
	}
	rank.writeFrames(writer, request, stream, 0)
}

func (rank *Rank) enqueue(generateRequest cranberryward.GenerateRequest) (*stream, error) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	if !rank.models[generateRequest.Model] {
		return nil, refusal(cranberryward.ReasonNotFound, "model "+strconv.Quote(generateRequest.Model)+" is not loaded")
	}
	if len(rank.queue) >= rank.group.settings.MaxQueue {
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "engine queue is full: "+strconv.Itoa(len(rank.queue))+" requests waiting")
	}
	if _, exists := rank.streams[generateRequest.RequestID]; exists {
		return nil, refusal(cranberryward.ReasonConflict, "request id "+strconv.Quote(generateRequest.RequestID)+" is already in use")
	}
	stream := newStream(generateRequest)
	rank.streams[generateRequest.RequestID] = stream
	rank.queue = append(rank.queue, stream)
	return stream, nil
}

func (rank *Rank) handleResume(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	offset, _ := strconv.Atoi(request.URL.Query().Get("offset"))
	rank.group.mutex.Lock()
	stream := rank.streams[id]
	rank.group.mutex.Unlock()
	if stream == nil || stream.canceled {
		listener.WriteError(writer, id, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonNotFound, "stream "+strconv.Quote(id)+" not found"))
		return
	}
	rank.writeFrames(writer, request, stream, offset)
}

func (rank *Rank) writeFrames(writer http.ResponseWriter, request *http.Request, stream *stream, offset int) {
	rank.attach(stream)
	defer rank.detach(stream)
	writer.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(writer)
	flusher, _ := writer.(http.Flusher)
	for frames := 0; ; frames++ {
		rank.group.mutex.Lock()
		text, end, changed := stream.text[min(offset, stream.emittedBytes):stream.emittedBytes], stream.end, stream.changed
		stopped, cutAfter := stream.lost || stream.canceled, rank.faults.CutAfter
		rank.group.mutex.Unlock()
		if stopped || (cutAfter > 0 && frames >= cutAfter) {
			faulter.CloseConnection(writer)
			return
		}
		if text != "" || end != nil {
			frame := cranberryward.Frame{
				RequestID: stream.request.RequestID,
				Offset:    offset,
				Text:      text,
				End:       end,
			}
			if encoder.Encode(frame) != nil {
				return
			}
			flusher.Flush()
			offset += len(text)
			if end != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}

func (rank *Rank) attach(stream *stream) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	stream.readers++
}

// detach cancels an unfinished stream if no reader attaches within ResumeMS after the last one has left.
func (rank *Rank) detach(stream *stream) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	stream.readers--
	if stream.readers > 0 || stream.end != nil {
		return
	}
	time.AfterFunc(time.Duration(rank.group.settings.ResumeMS)*time.Millisecond, func() {
		rank.group.mutex.Lock()
		defer rank.group.mutex.Unlock()
		if stream.readers == 0 && stream.end == nil {
			stream.cancel()
		}
	})
}

func (rank *Rank) handleCancel(writer http.ResponseWriter, request *http.Request) {
	rank.group.mutex.Lock()
	if stream := rank.streams[mux.Vars(request)["id"]]; stream != nil && stream.end == nil {
		stream.cancel()
	}
	rank.group.mutex.Unlock()
	listener.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (rank *Rank) handleLoad(writer http.ResponseWriter, _ *http.Request) {
	rank.group.mutex.Lock()
	if rank.loadUpdatedAt.IsZero() {
		rank.updateLoad(true)
	}
	load := rank.load
	load.AgeMS = time.Since(rank.loadUpdatedAt).Milliseconds()
	load.ExpertLoads = rank.group.expertLoads()
	rank.group.mutex.Unlock()
	listener.WriteJSON(writer, http.StatusOK, load)
}

func (rank *Rank) handleEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	rank.group.mutex.Lock()
	visibleUntil := time.Now().Add(-time.Duration(rank.faults.EventLagMS) * time.Millisecond)
	events, last, gap := rank.events.after(after, visibleUntil)
	page := cranberryward.CacheEvents{
		Events:   events,
		Resync:   gap,
		Sequence: last,
	}
	if gap {
		page.Blocks = rank.cache.list()
		page.Sequence = rank.events.sequence
	}
	rank.group.mutex.Unlock()
	listener.WriteJSON(writer, http.StatusOK, page)
}

func (rank *Rank) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var order cranberryward.Order
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &order); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	if err := rank.ExecuteOrder(request.Context(), order); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	listener.WriteJSON(writer, http.StatusOK, rank.State())
}

func (rank *Rank) handleMap(writer http.ResponseWriter, request *http.Request) {
	version, _ := strconv.ParseUint(mux.Vars(request)["version"], 10, 64)
	expertMap, err := rank.Map(version)
	if err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	listener.WriteJSON(writer, http.StatusOK, expertMap)
}

func (rank *Rank) handleExport(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	rank.group.mutex.Lock()
	stream := rank.streams[id]
	rank.group.mutex.Unlock()
	if stream == nil {
		listener.WriteError(writer, id, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonNotFound, "stream "+strconv.Quote(id)+" not found"))
		return
	}
	listener.WriteJSON(writer, http.StatusOK, cranberryward.AppendBlockHashes(nil, stream.request.Prompt))
}

func (rank *Rank) handleImport(writer http.ResponseWriter, request *http.Request) {
	var blocks []uint64
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &blocks); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	rank.group.mutex.Lock()
	removed := rank.cache.store(blocks)
	rank.events.add(rank, blocks, removed)
	rank.group.mutex.Unlock()
	listener.WriteJSON(writer, http.StatusOK, struct{}{})
}
